package vm

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
	"sassafrastray/internal/operator/settings"
	"sassafrastray/internal/standin/object"
)

// TestNeverLower hands configurations to a VM in any order, as late answers of
// the store and of peers do. The oracle: the greatest number so far is in
// force.
func TestNeverLower(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v, err := New(&settings.Settings{Name: "vm", Domain: "d", Secret: "0123456789abcdef"},
			seat{memory: &memory{table: object.New()}}, sassafrastray.SystemClock{}, wordless)
		if err != nil {
			rt.Fatal(err)
		}
		defer v.work.Release()
		greatest := int64(0)
		for _, n := range rapid.SliceOfN(rapid.Int64Range(1, 9), 1, 12).Draw(rt, "numbers") {
			v.adopt(&sassafrastray.Config{Number: n}, "test", time.Now())
			greatest = max(greatest, n)
			if got := v.handler.Config().Number; got != greatest {
				rt.Fatalf("configuration %d is in force after %d had been", got, greatest)
			}
		}
	})
}
