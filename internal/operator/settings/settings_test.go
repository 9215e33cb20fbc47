package settings

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/sebdah/goldie/v2"
)

const secret = "a secret of the fleet"

// load loads data as a settings file, with the secret in a file beside it and in the
// environment.
func load(t *testing.T, data []byte) (*Settings, error) {
	t.Helper()
	dir := t.TempDir()
	t.Setenv("SASSAFRASTRAY_SECRET", secret)
	t.Setenv("SHORT_SECRET", "short")
	t.Chdir(dir)
	for name, content := range map[string]string{"vm.yaml": string(data), "secret": secret + "\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return Load("vm.yaml")
}

func TestLoad(t *testing.T) {
	address := netip.MustParseAddrPort
	minimal := Settings{
		Name: "vm-1", Domain: "chiang-mai",
		Callers: address("127.0.1.1:8080"), Inner: address("127.0.1.1:8081"),
		Operations: address("127.0.1.1:8082"), Store: address("127.0.0.1:7000"), Secret: secret,
		Log:    Log{Format: JSON, Decisions: true},
		Timing: Timing{TTL: DefaultTTL, Drain: DefaultDrain},
		Limits: Limits{Connections: DefaultConnections, Header: DefaultHeaderSize},
	}
	full := minimal
	full.Seeds = []netip.AddrPort{address("127.0.1.2:8081"), address("[2001:db8::1]:8081")}
	full.Log = Log{Format: Text, Level: slog.LevelDebug}
	full.Timing = Timing{TTL: 2 * time.Second, Drain: time.Minute}
	full.Limits = Limits{Connections: 100, Header: 8 << 10}
	a, err := txtar.ParseFile("testdata/good.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []Settings{minimal, full} {
		got, err := load(t, a.Files[i].Data)
		if err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("%s: %+v, %v, want %+v", a.Files[i].Name, got, err, want)
		}
	}
}

// TestProblems compares the problems reported for invalid files with a golden file.
// Regenerate it with go test ./internal/operator/settings -run Problems -update.
func TestProblems(t *testing.T) {
	a, err := txtar.ParseFile("testdata/bad.txtar")
	if err != nil {
		t.Fatal(err)
	}
	// load changes the working directory, so the path must be absolute.
	fixtures, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t, goldie.WithFixtureDir(fixtures))
	var b strings.Builder
	for _, f := range a.Files {
		s, err := load(t, f.Data)
		if err == nil || s != nil {
			t.Errorf("%s is accepted: %+v", f.Name, s)
		}
		fmt.Fprintf(&b, "-- %s --\n%v\n", f.Name, err)
	}
	g.Assert(t, "bad", []byte(b.String()))
	if _, err := Load("nowhere.yaml"); err == nil {
		t.Error("a missing file is accepted")
	}
}

func TestSecretIsHidden(t *testing.T) {
	s := Settings{Secret: secret}
	var log strings.Builder
	slog.New(slog.NewTextHandler(&log, nil)).Info("start", "settings", s, "secret", s.Secret)
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{fmt.Sprintf("%v %+v %#v %s", s, s, s, s.Secret), string(data), log.String()} {
		if strings.Contains(text, secret) {
			t.Errorf("the secret shows in %q", text)
		}
	}
}
