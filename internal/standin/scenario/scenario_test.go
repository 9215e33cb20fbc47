package scenario_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"sassafrastray/internal/standin/scenario"
)

// TestProblems checks the error messages for invalid case files.
func TestProblems(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no invalid case files:", err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".yaml")
		t.Run(name, func(t *testing.T) {
			_, err := scenario.Parse(filepath.Base(f), readFile(t, f))
			if err == nil {
				t.Fatal("invalid case accepted")
			}
			goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

// TestExamples checks that the example cases of the project are valid.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../../examples/load/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no examples:", err)
	}
	for _, f := range files {
		if _, err := scenario.Parse(f, readFile(t, f)); err != nil {
			t.Error(err)
		}
	}
}

func readFile(t *testing.T, file string) []byte {
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
