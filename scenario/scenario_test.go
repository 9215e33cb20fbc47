// Package scenario tests the whole system as separate processes under load, with
// faults that only processes have: kills, pauses and restarts.
package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"sassafrastray/internal/fleet/vm"
	"sassafrastray/internal/rollout/move"
	"sassafrastray/internal/standin/report"
)

// A script runs the commands of a file in testdata, one per line:
//
//	load SCALE                starts the load case siam-steady for SCALE minutes
//	kill VM | term VM         sends SIGKILL, or SIGTERM and expects exit status 0
//	pause VM | resume VM      sends SIGSTOP or SIGCONT
//	start VM                  starts a VM again
//	store FAULTS              sets the faults of the simulated store
//	cut DOMAIN... | heal      partitions failure domains, or ends the partition
//	publish SERVICE FILE      replaces a service's file by one of moves/ and publishes
//	fault SERVER FAULTS       sets the faults of a simulated backend server
//	settles SERVICE STATE D   waits up to D until the move has the state on all VMs
//	leader SERVICE COMMAND    runs kill or pause on the VM that leads the move
//	sleep D                   waits for D
//	share S                   sets the least share of in-quota requests to succeed
//
// Whatever the faults, the audit of the run must find that no request that is not
// idempotent was executed twice, that no request answered as "not run" was
// executed, that no backend server received an API key, and that no team exceeded
// its rate and burst.
type script struct {
	t   *testing.T
	dir string
	// secondOctet separates the loopback addresses of scripts that run in
	// parallel: they use 127.secondOctet.0.0/16.
	secondOctet int
	// procs and exited have the started processes and their results by name.
	procs  map[string]*exec.Cmd
	exited map[string]chan error
	// minShare is the least share of in-quota requests that must succeed. For a
	// platform, it is the share of all requests.
	minShare float64
}

const (
	exampleDir = "../examples/siam-sprout"

	// maxTransitJitter is the tolerance for how much closer together two requests
	// start at backend servers, where the audit sees them, than they left the
	// VMs. The value is for one machine that runs all processes.
	maxTransitJitter = 25 * time.Millisecond
)

var (
	// binDir has the programs under test.
	binDir string

	// exampleDomains has the failure domains of vm-1, vm-2 and so on.
	exampleDomains = []string{
		"chiang-mai", "chiang-mai", "chiang-rai", "chiang-rai", "khon-kaen", "khon-kaen",
		"udon-thani", "udon-thani", "bangkok", "bangkok", "nonthaburi",
	}
)

func TestMain(m *testing.M) {
	os.Exit(func() int {
		var err error
		if binDir, err = os.MkdirTemp("", "scenario"); err != nil {
			panic(err)
		}
		defer os.RemoveAll(binDir)
		if out, err := exec.Command("go", "build", "-o", binDir, "../cmd/...").CombinedOutput(); err != nil {
			panic(string(out))
		}
		return m.Run()
	}())
}

func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("skipping in short mode: each scenario takes half a minute")
	}
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts in testdata", err)
	}
	for i, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			s := &script{
				t: t, dir: workDir(t), secondOctet: 40 + i,
				procs: make(map[string]*exec.Cmd), exited: make(map[string]chan error),
			}
			defer s.stop()
			s.startSystem()
			s.runScript(f)
		})
	}
}

// workDir returns the directory for the script's files and logs. If SCENARIO_DIR
// is set, the directory is created there and kept for inspection after a failure.
func workDir(t *testing.T) string {
	keep := os.Getenv("SCENARIO_DIR")
	if keep == "" {
		return t.TempDir()
	}
	dir, err := filepath.Abs(filepath.Join(keep, filepath.Base(t.Name())))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	return dir
}

// runScript runs the commands of a file, waits for the load to end and checks the
// report.
func (s *script) runScript(file string) {
	b, err := os.ReadFile(file)
	s.must(err)
	for i, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 0 && !strings.HasPrefix(line, "#") {
			s.t.Logf("%s:%d: %s", file, i+1, line)
			s.runCommand(f)
		}
	}
	if s.procs["load"] != nil {
		s.must(<-s.exited["load"])
		s.exited["load"] <- nil
		s.checkReport()
	}
}

// runCommand runs one command with its arguments.
func (s *script) runCommand(f []string) {
	args := strings.Join(f[1:], " ")
	switch f[0] {
	case "load":
		s.startProcess("load", "standin", "load", s.dir+"/case.yaml", "--scale", f[1], "--backends", s.remapAddrs("127.0.0.1:7101"), "--json", s.dir+"/report.json")
	case "kill":
		s.signal(f[1], syscall.SIGKILL)
		<-s.exited[f[1]]
		s.exited[f[1]] <- nil
	case "term":
		s.signal(f[1], syscall.SIGTERM)
		s.must(<-s.exited[f[1]])
		s.exited[f[1]] <- nil
	case "pause":
		s.signal(f[1], syscall.SIGSTOP)
	case "resume":
		s.signal(f[1], syscall.SIGCONT)
	case "start":
		s.startVM(f[1])
	case "store":
		s.mustSend("PUT", "http://"+s.remapAddrs("127.0.0.1:7001")+"/control/faults", args)
	case "cut", "heal":
		s.setCutDomains(f[1:])
	case "publish":
		s.copyFile(exampleDir+"/moves/"+f[2], "config/services/"+f[1]+".yaml")
		s.shortenMove("config/services/" + f[1] + ".yaml")
		s.publish()
	case "fault":
		s.mustSend("PUT", "http://"+s.remapAddrs("127.0.0.1:7101")+"/control/faults/"+f[1], strings.Join(f[2:], " "))
	case "settles":
		s.awaitMoveState(f[1], move.State(f[2]), f[3])
	case "leader":
		s.signalLeader(f[1], f[2])
	case "sleep":
		d, err := time.ParseDuration(f[1])
		s.must(err)
		time.Sleep(d)
	case "share":
		n, err := strconv.ParseFloat(f[1], 64)
		s.must(err)
		s.minShare = n
	default:
		s.t.Fatalf("unknown command %q", f[0])
	}
}

// shortenMove gives the move in a service's file fewer and shorter steps and a
// deadline in two minutes, so that it ends within the test.
func (s *script) shortenMove(name string) {
	b, err := os.ReadFile(filepath.Join(s.dir, name))
	s.must(err)
	var lines []string
	for line := range strings.SplitSeq(string(b), "\n") {
		switch key, _, _ := strings.Cut(strings.TrimSpace(line), ":"); key {
		case "deadline":
			line = "  deadline: " + time.Now().Add(2*time.Minute).UTC().Format(time.RFC3339)
		case "soak":
			line = "  soak: 2s"
		case "steps":
			line = "  steps: [50, 250, 1000]"
		}
		lines = append(lines, line)
	}
	s.writeFile(name, strings.Join(lines, "\n"))
}

// setCutDomains makes failure domains unreachable for the others and the store. All
// others are reachable again.
func (s *script) setCutDomains(names []string) {
	vmBody, err := json.Marshal(map[string][]string{"domains": names})
	s.must(err)
	for i := range exampleDomains {
		s.mustSend("POST", s.operationsURL(i+1)+"/faults/cut", string(vmBody))
	}
	storeBody, err := json.Marshal(append([]string{}, names...))
	s.must(err)
	s.mustSend("PUT", "http://"+s.remapAddrs("127.0.0.1:7001")+"/control/cut", string(storeBody))
}

// moveReport returns what vm-n reports about the move of a service.
func (s *script) moveReport(n int, service string) (move.Report, error) {
	var st vm.Status
	if err := s.getJSON(s.operationsURL(n)+"/status", &st); err != nil {
		return move.Report{}, err
	}
	for _, m := range st.Moves {
		if string(m.Service) == service {
			return m, nil
		}
	}
	return move.Report{}, fmt.Errorf("service %s has no move", service)
}

// awaitMoveState waits until every VM reports the state of a service's move.
func (s *script) awaitMoveState(service string, state move.State, timeout string) {
	d, err := time.ParseDuration(timeout)
	s.must(err)
	s.waitUntil(d, service+" is "+string(state), func() error {
		for i := range exampleDomains {
			m, err := s.moveReport(i+1, service)
			if err != nil {
				return fmt.Errorf("vm-%d: %w", i+1, err)
			}
			if m.State != state {
				return fmt.Errorf("vm-%d: move is %s: %s", i+1, m.State, m.Reason)
			}
		}
		return nil
	})
}

// signalLeader waits until the move of a service has a leader and runs the command
// kill or pause on that VM.
func (s *script) signalLeader(service, signal string) {
	var name string
	s.waitUntil(20*time.Second, "the move has a leader", func() error {
		m, err := s.moveReport(1, service)
		if err != nil {
			return err
		}
		if name = string(m.Leader.VM); name == "" {
			return fmt.Errorf("the move has no leader")
		}
		return nil
	})
	s.t.Logf("the move is led by %s", name)
	s.runCommand([]string{signal, name})
}

// checkReport checks the audit and the share of successful requests in the load
// generator's report.
func (s *script) checkReport() {
	s.savePage("executed")
	b, err := os.ReadFile(filepath.Join(s.dir, "report.json"))
	s.must(err)
	var r report.Report
	s.must(json.NewDecoder(bytes.NewReader(b)).Decode(&r))
	a := r.Audit
	if a == nil || a.Executions == 0 {
		s.t.Fatal("the report has no audit")
	}
	if a.RepeatedNonIdempotent > 0 || a.FalseNotRun > 0 || a.LeakedKeys > 0 || a.WrongTeam > 0 {
		s.t.Errorf("executed twice: %d; answered as \"not run\" but executed: %d; executed with an API key: %d; executed for another team: %d", a.RepeatedNonIdempotent, a.FalseNotRun, a.LeakedKeys, a.WrongTeam)
	}
	// A subtest, so that KNOWN-RED.txt can name it for some scripts.
	s.t.Run("burst", func(t *testing.T) {
		for _, q := range a.Quotas {
			if q.NeededBurst > float64(q.Burst)+q.Rate*maxTransitJitter.Seconds() {
				t.Errorf("%s at %s: rate %v needed a burst of %.3f, above %v", q.Team, q.Service, q.Rate, q.NeededBurst, q.Burst)
			}
		}
	})
	share := float64(r.Total.Served) / float64(max(1, r.Total.InQuota))
	s.t.Logf("%d executed; %.4f of %d in-quota requests succeeded; %d refused in quota, failed %v",
		a.Executions, share, r.Total.InQuota, r.Total.ExcessRefusals, r.Total.Failed)
	if share < s.minShare {
		s.t.Errorf("%.4f of the in-quota requests succeeded, want at least %v", share, s.minShare)
	}
}
