package config

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/sebdah/goldie/v2"

	"sassafrastray"
	"sassafrastray/internal/operator/document"
)

var now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func TestLoadExamples(t *testing.T) {
	for _, dir := range []string{"siam-sprout", "rodopa"} {
		dir = "../../../examples/" + dir
		c, err := Load(dir)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(Encode(c))
		if err != nil {
			t.Fatal(err)
		}
		if Sum(decoded) != Sum(c) {
			t.Errorf("%s: decoded configuration differs", dir)
		}
		moves, err := filepath.Glob(dir + "/moves/*.yaml")
		if err != nil || len(moves) != 2 {
			t.Fatalf("%v, %v", moves, err)
		}
		for _, m := range moves {
			checkVariant(t, dir, m)
		}
	}
}

// checkVariant checks the directory with a service's file replaced by a variant that
// has a move.
func checkVariant(t *testing.T, dir, variant string) {
	t.Helper()
	tmp := t.TempDir()
	if err := os.CopyFS(tmp, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(variant)
	if err != nil {
		t.Fatal(err)
	}
	service, _, _ := strings.Cut(filepath.Base(variant), "-")
	if err := os.WriteFile(filepath.Join(tmp, servicesDir, service+extension), data, 0o600); err != nil {
		t.Fatal(err)
	}
	c, r := Check(tmp, now, &Previous{})
	if len(r.Problems) > 0 {
		t.Fatalf("%s:\n%s", variant, r)
	}
	if s := c.Service(sassafrastray.ServiceName(service)); s.Move == nil {
		t.Errorf("%s: no move", variant)
	}
}

func extract(t *testing.T, a *txtar.Archive) string {
	t.Helper()
	dir := t.TempDir()
	for _, f := range a.Files {
		path := filepath.Join(dir, f.Name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, f.Data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// publishedState returns the published state that change.txtar is checked against.
func publishedState() *Previous {
	service := func(name sassafrastray.ServiceName, version sassafrastray.VersionName, m *sassafrastray.Move) sassafrastray.Service {
		return sassafrastray.Service{Name: name, Version: version, Move: m}
	}
	move := func(name sassafrastray.MoveName, steps ...int) *sassafrastray.Move {
		return &sassafrastray.Move{
			Name: name, From: "v1", To: "v2", Steps: steps, Soak: 30 * time.Second,
			Deadline: time.Date(2099, 12, 4, 6, 1, 0, 0, time.UTC),
		}
	}
	return &Previous{
		Config: &sassafrastray.Config{
			Fleet: sassafrastray.Fleet{Domains: []sassafrastray.FailureDomain{
				{Name: "bangkok", Region: "central", Places: 1}, {Name: "chiang-mai", Region: "north", Places: 2},
			}},
			Services: []sassafrastray.Service{
				service("a", "v1", move("a-v2", 1000)), service("b", "v1", move("b-v2", 1000)),
				service("c", "v1", nil), service("d", "v1", nil), service("e", "v1", move("e-v2", 10, 1000)),
			},
		},
		Moves: []MoveID{{"b", "b-v2"}},
	}
}

// TestProblems compares the problems reported for invalid files with golden files.
// Regenerate these with go test ./internal/operator/config -run Problems -update.
func TestProblems(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %v", files, err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/bad"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		t.Run(name, func(t *testing.T) {
			a, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			dir := extract(t, a)
			previous := &Previous{}
			if name == "change" {
				previous = publishedState()
			}
			_, r := Check(dir, now, previous)
			if name != "change" && !r.Failed() {
				t.Error("nothing failed")
			}
			g.Assert(t, name, []byte(strings.ReplaceAll(r.String(), dir+"/", "")+"\n"))
		})
	}
}

// FuzzLoad reads arbitrary data as operators' files. Loading must never panic, and an
// accepted configuration must survive an encoding round trip. Fuzz with
// -fuzzminimizetime 10x; otherwise most of the time is spent on minimizing inputs.
func FuzzLoad(f *testing.F) {
	files, err := filepath.Glob("testdata/bad/*.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		a, err := txtar.ParseFile(file)
		if err != nil {
			f.Fatal(err)
		}
		for _, service := range a.Files[1:] {
			f.Add(a.Files[0].Data, service.Data)
		}
	}
	fleet, err := os.ReadFile("../../../examples/siam-sprout/fleet.yaml")
	if err != nil {
		f.Fatal(err)
	}
	orders, err := os.ReadFile("../../../examples/siam-sprout/services/orders.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(fleet, orders)
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, fleet, service []byte) {
		l := newLoader(dir, now, publishedState())
		if n := document.Parse(fleetFile, fleet, l.report); n.Exists() {
			l.readFleet(n)
		}
		if n := document.Parse("orders.yaml", service, l.report); n.Exists() {
			l.readService(n, "orders")
		}
		if l.report.Failed() {
			return
		}
		decoded, err := Decode(Encode(l.config))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(Encode(decoded), Encode(l.config)) {
			t.Fatal("the decoded configuration differs")
		}
	})
}
