package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// remapAddrs replaces the loopback addresses of the examples in text by those of the
// script, so that scripts can run in parallel.
func (s *script) remapAddrs(text string) string {
	text = strings.ReplaceAll(text, "127.0.0.0/8", "127.0.0.0/24")
	for _, from := range []string{"127.0.0.", "127.0.1.", "127.0.2."} {
		third := from[len("127.0.") : len(from)-1]
		text = strings.ReplaceAll(text, from, fmt.Sprintf("127.%d.%s.", s.secondOctet, third))
	}
	return text
}

// copyFile copies a file to the script's directory with remapped addresses.
func (s *script) copyFile(from, to string) {
	b, err := os.ReadFile(from)
	s.must(err)
	s.writeFile(to, s.remapAddrs(string(b)))
}

// writeFile writes a file in the script's directory.
func (s *script) writeFile(name, text string) {
	path := filepath.Join(s.dir, name)
	s.must(os.MkdirAll(filepath.Dir(path), 0o755))
	s.must(os.WriteFile(path, []byte(text), 0o644))
}

// must ends the test if err is not nil.
func (s *script) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// startSystem starts the simulated store, the simulated backend servers and eleven
// VMs, publishes the example configuration, and waits until all VMs are ready.
func (s *script) startSystem() {
	s.copyFile(exampleDir+"/fleet.yaml", "config/fleet.yaml")
	for _, n := range []string{"stock", "orders", "photos", "lots"} {
		s.copyFile(exampleDir+"/services/"+n+".yaml", "config/services/"+n+".yaml")
	}
	s.copyFile("../examples/load/siam-steady.yaml", "case.yaml")
	s.writeFile("secret", "0123456789abcdef0123456789abcdef")
	var vms []string
	for i, d := range exampleDomains {
		name := fmt.Sprintf("vm-%d", i+1)
		vms = append(vms, s.remapAddrs(fmt.Sprintf(
			`{"name":%q,"domain":%q,"callers":"127.0.1.%d:7200","inner":"127.0.1.%d:7201","state":"live"}`, name, d, i+1, i+1)))
		s.writeFile(name+".yaml", s.remapAddrs(fmt.Sprintf(`name: %s
domain: %s
callers: 127.0.1.%d:7200
inner: 127.0.1.%d:7201
operations: 127.0.1.%d:7202
store: 127.0.0.1:7000
secret: {file: %s/secret}
timing: {ttl: 2s, drain: 20s}
faults: {allowed: true}
`, name, d, i+1, i+1, i+1, s.dir)))
	}
	s.writeFile("vms.json", "["+strings.Join(vms, ",")+"]")
	s.startProcess("store", "standin", "store", "--listen", s.remapAddrs("127.0.0.1:7000"), "--control", s.remapAddrs("127.0.0.1:7001"), "--vms", s.dir+"/vms.json")
	s.startProcess("backend", "standin", "backend", "--config", s.dir+"/config", "--control", s.remapAddrs("127.0.0.1:7101"))
	s.waitUntil(10*time.Second, "the store answers", func() error { return s.getJSON("http://"+s.remapAddrs("127.0.0.1:7000")+"/vms", nil) })
	s.publish()
	for i := range exampleDomains {
		s.startVM(fmt.Sprintf("vm-%d", i+1))
	}
	for i := range exampleDomains {
		s.waitUntil(40*time.Second, "all VMs are ready", func() error { return s.getJSON(s.operationsURL(i+1)+"/ready", nil) })
	}
}

// operationsURL returns the URL of vm-n's operations listener.
func (s *script) operationsURL(n int) string {
	return s.remapAddrs(fmt.Sprintf("http://127.0.1.%d:7202", n))
}

// startVM starts the VM of the given name.
func (s *script) startVM(name string) {
	s.startProcess(name, "sassafrastray", "serve", "-c", s.dir+"/"+name+".yaml")
}

// startProcess starts one of the built programs. Its output is appended to name.log
// and its result is sent to s.exited[name].
func (s *script) startProcess(name, program string, args ...string) {
	logFile, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	s.must(err)
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(binDir, program), args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	s.must(cmd.Start())
	exit := make(chan error, 1)
	go func() { exit <- cmd.Wait() }()
	s.procs[name], s.exited[name] = cmd, exit
}

// signal sends a signal to a process.
func (s *script) signal(name string, sig syscall.Signal) {
	s.must(s.procs[name].Process.Signal(sig))
}

// stop kills the processes that the script started and waits for their end.
func (s *script) stop() {
	for name, p := range s.procs {
		p.Process.Kill()
		<-s.exited[name]
	}
}

// publish publishes the configuration in the script's directory.
func (s *script) publish() {
	cmd := exec.Command(filepath.Join(binDir, "sassafrastray"), "publish", s.dir+"/config", "--store", s.remapAddrs("127.0.0.1:7000"))
	if out, err := cmd.CombinedOutput(); err != nil {
		s.t.Fatalf("publish: %v: %s", err, out)
	}
}

// getJSON requests a URL, expects status 200, and decodes the JSON response into v
// unless v is nil.
func (s *script) getJSON(url string, v any) error {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	if v == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// savePage saves a page of the simulated backend servers' control interface in the
// script's directory.
func (s *script) savePage(page string) {
	resp, err := http.Get("http://" + s.remapAddrs("127.0.0.1:7101") + "/control/" + page)
	s.must(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	s.must(err)
	s.writeFile(page+".json", string(b))
}

// mustSend sends a request and ends the test unless it is answered with status 200.
func (s *script) mustSend(method, url, body string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	s.must(err)
	resp, err := http.DefaultClient.Do(req)
	s.must(err)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.t.Fatalf("%s %s: status %d", url, body, resp.StatusCode)
	}
}

// waitUntil calls check until it returns nil, and ends the test after the timeout.
func (s *script) waitUntil(timeout time.Duration, what string, check func() error) {
	s.t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting until %s: %v", what, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
