// Package main has the stand-ins and the cases of the review. Each case starts the
// store's stand-in and the entry VMs as separate processes, plays servers and clients
// itself, and tells by its exit code whether a rule was broken: 1 if so, 0 if it held, 2
// if the case couldn't run.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Programs, as the deploy file and build.sh build them.
const (
	entryProgram   = "target/sassafrastray"
	standinProgram = "target/review/standin"
)

// Names of the small deployment that the cases use.
const (
	teamKey   = "sk-review-depot-0123456789"
	teamName  = "depot"
	otherTeam = "other"
	otherKey  = "sk-review-other-0123456789"
	ordersRow = `["r-orders","orders.example","/orders/","non_idempotent",8000,400,1,null,2,false,false,[],"orders"]`
	stockRow  = `["r-stock","stock.example","/stock/","safe",8000,400,2,null,2,false,false,[],"stock"]`
	photosRow = `["r-photos","photos.example","/photos/","upload",8000,400,1,null,2,false,false,[],"photos"]`
	openRow   = `["r-open","open.example","/open/","safe",8000,400,2,null,2,true,false,[],"stock"]`
	publicRow = `["r-public","public.example","/public/","non_idempotent",8000,400,2,null,2,true,false,[],"orders"]`
)

type (
	// world is one small deployment with its processes and the record of a case.
	world struct {
		dir     string
		record  *os.File
		mu      sync.Mutex
		procs   []*exec.Cmd
		store   string
		ip      string
		version int
		servers []*server
		// limit is the number of descriptors that a VM may have, if it is set.
		limit string
	}

	// vm is one entry VM.
	vm struct {
		name, front, ready string
		cmd                *exec.Cmd
	}
)

// fail ends the case with the code for one that couldn't run.
func (w *world) fail(format string, args ...any) {
	w.note("could not run: "+format, args...)
	w.stop()
	os.Exit(2)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := time.Now().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
	fmt.Fprintln(w.record, line)
	fmt.Println(line)
}

// newWorld starts the store's stand-in. The record is in the case's folder.
func newWorld(folder string) *world {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{dir: dir, record: f, ip: fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(250))}
	w.store = w.freeAddr(1)
	w.start("store", nil, standinProgram, "registry", "--listen", w.store, "--control", w.freeAddr(1))
	w.await("the store", func() bool { return w.get(w.objects("config")) == http.StatusOK })
	return w
}

// freeAddr returns an unused address of the deployment's host n.
func (w *world) freeAddr(n int) string {
	l, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", w.ip, n))
	if err != nil {
		w.fail("no free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (w *world) start(name string, env []string, program string, args ...string) *exec.Cmd {
	out, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		w.fail("%v", err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr, cmd.Env = out, out, append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		w.fail("%v", err)
	}
	w.mu.Lock()
	w.procs = append(w.procs, cmd)
	w.mu.Unlock()
	return cmd
}

// stop ends the processes that the case started, and its servers.
func (w *world) stop() {
	for _, s := range w.servers {
		s.stop()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.procs {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	w.procs = nil
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// end ends the case with its result.
func (w *world) end(broken bool) {
	w.stop()
	if broken {
		w.note("RESULT: the rule was broken")
		os.Exit(1)
	}
	w.note("RESULT: the rule held")
	os.Exit(0)
}

// await waits up to 20 s until a condition holds.
func (w *world) await(what string, ok func() bool) {
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			w.fail("%s did not come about", what)
		}
	}
}

func (w *world) objects(path string) string { return "http://" + w.store + "/api/objects/" + path }

func (w *world) get(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// write creates an object in the store, or replaces it.
func (w *world) write(kind, name string, spec any) {
	b, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": name}, "spec": spec})
	if err != nil {
		w.fail("%v", err)
	}
	for _, c := range [][2]string{{"POST", kind}, {"PUT", kind + "/" + name}} {
		req, err := http.NewRequest(c[0], w.objects(c[1]), bytes.NewReader(b))
		if err != nil {
			w.fail("%v", err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode < 300 {
			return
		}
	}
}

// configure puts a desired state with these routes in force.
func (w *world) configure(rows ...string) {
	w.version += 3
	state := fmt.Sprintf(`{"version":"%08x",
"routes":{"columns":["name","host","path-prefix","kind","timeout-ms","target-latency-ms","priority","traffic-split","max-attempts","public","sticky","allowed-regions","service"],"rows":[%s]},
"services":{"columns":["name","health-path","max-conns","cold-start-s","cold-per-s"],"rows":[["stock","/health",300,1.0,20.0],["orders","/health",300,1.0,20.0],["photos","/health",300,1.0,20.0]]},
"limits":{"header-bytes":16384,"body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":{"columns":["name","api-keys","priority","rate-per-s","burst","allowed-regions"],"rows":[["%s",["%s"],1,400,400,[]],["%s",["%s"],1,400,400,[]]]}}`,
		w.version, strings.Join(rows, ","), teamName, teamKey, otherTeam, otherKey)
	w.write("config", "main", json.RawMessage(state))
}

// startVM starts an entry VM and waits until it is ready.
func (w *world) startVM(n int) *vm {
	v := &vm{name: fmt.Sprintf("vm-%d", n), front: w.freeAddr(n + 1), ready: w.freeAddr(n + 1)}
	zone, region := "n-1", "north"
	settings := fmt.Sprintf(`node: %q
role: "edge"
machine-class: "front"
serves: ["front", "control", "directory"]
ip: "%s%d"
zone: %q
region: %q
zones: {n-1: north, n-2: north, s-1: south, s-2: south}
listen: {front: %q, ready: %q, control: %q, directory: %q}
seeds: []
bootstrap: true
limits: {cpu-share: 0.32, cores: 1, memory-mb: 284, max-fds: 4100, link-mbps: 1000.0, disk-mb: 0}
heartbeat-ms: 1500
bounds: ["stable-window-ms=4000", "grace-s=6", "config-apply-ms=2500", "drain-ms=2500", "retry-budget-ratio=0.2", "budget-window-s=10", "retry-budget-slack=62", "quota-window-s=5", "quota-overshoot=0.1", "quota-slack=20", "exposure-share=0.1", "cold-overshoot=1.5", "cold-slack=5", "ttl_max_s=5", "max-region-shift=0.15"]
provider: {addr: %q, form: "objects", writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, ttl-min-ms: 1000}
`, v.name, w.ip, n+1, zone, region, v.front, v.ready, w.freeAddr(n+1), w.freeAddr(n+1), w.store)
	file := filepath.Join(w.dir, v.name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		w.fail("%v", err)
	}
	program, args := entryProgram, []string{"steer"}
	if w.limit != "" {
		program, args = "/bin/bash", []string{"-c", "ulimit -n " + w.limit + " && exec " + entryProgram + " steer"}
	}
	v.cmd = w.start(v.name, []string{"SASSAFRASTRAY_NODE_FILE=" + file}, program, args...)
	w.await(v.name+" ready", func() bool { return w.get("http://"+v.ready+"/api/readiness") == http.StatusOK })
	return v
}
