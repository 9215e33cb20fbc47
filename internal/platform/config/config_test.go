package config

import (
	"testing"
)

func TestLoadExamples(t *testing.T) {
	for _, dir := range []string{"siam-sprout", "rodopa"} {
		c, err := Load("../../../examples/" + dir)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(Encode(c))
		if err != nil {
			t.Fatal(err)
		}
		if Sum(again) != Sum(c) {
			t.Errorf("%s: decoded configuration differs", dir)
		}
	}
}
