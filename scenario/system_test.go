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

// local puts the example's loopback addresses into the script's own networks.
func (s *script) local(text string) string {
	text = strings.ReplaceAll(text, "127.0.0.0/8", "127.0.0.0/24")
	for _, from := range []string{"127.0.0.", "127.0.1.", "127.0.2."} {
		third := from[len("127.0.") : len(from)-1]
		text = strings.ReplaceAll(text, from, fmt.Sprintf("127.%d.%s.", s.net, third))
	}
	return text
}

func (s *script) copy(from, to string) {
	b, err := os.ReadFile(from)
	s.must(err)
	s.write(to, s.local(string(b)))
}

func (s *script) write(name, text string) {
	path := filepath.Join(s.dir, name)
	s.must(os.MkdirAll(filepath.Dir(path), 0o755))
	s.must(os.WriteFile(path, []byte(text), 0o644))
}

func (s *script) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// up starts the stand-ins and eleven VMs, and waits until they are ready.
func (s *script) up() {
	s.copy(example+"/fleet.yaml", "config/fleet.yaml")
	for _, n := range []string{"stock", "orders", "photos", "lots"} {
		s.copy(example+"/services/"+n+".yaml", "config/services/"+n+".yaml")
	}
	s.copy("../examples/load/siam-steady.yaml", "case.yaml")
	s.write("secret", "0123456789abcdef0123456789abcdef")
	var list []string
	for i, d := range domains {
		name := fmt.Sprintf("vm-%d", i+1)
		list = append(list, s.local(fmt.Sprintf(
			`{"name":%q,"domain":%q,"callers":"127.0.1.%d:7200","inner":"127.0.1.%d:7201","state":"live"}`, name, d, i+1, i+1)))
		s.write(name+".yaml", s.local(fmt.Sprintf(`name: %s
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
	s.write("vms.json", "["+strings.Join(list, ",")+"]")
	s.run("store", "standin", "store", "--listen", s.local("127.0.0.1:7000"), "--control", s.local("127.0.0.1:7001"), "--vms", s.dir+"/vms.json")
	s.run("backend", "standin", "backend", "--config", s.dir+"/config", "--control", s.local("127.0.0.1:7101"))
	s.until(10*time.Second, "the store answers", func() error { return s.get("http://"+s.local("127.0.0.1:7000")+"/vms", nil) })
	s.publish()
	for i := range domains {
		s.start(fmt.Sprintf("vm-%d", i+1))
	}
	for i := range domains {
		s.until(40*time.Second, "all VMs are ready", func() error { return s.get(s.operations(i+1)+"/ready", nil) })
	}
}

func (s *script) operations(vm int) string {
	return s.local(fmt.Sprintf("http://127.0.1.%d:7202", vm))
}

func (s *script) start(name string) {
	s.run(name, "sassafrastray", "serve", "-c", s.dir+"/"+name+".yaml")
}

// run starts a process; its output goes to a file of its name.
func (s *script) run(name, program string, args ...string) {
	out, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	s.must(err)
	defer out.Close()
	c := exec.Command(filepath.Join(bin, program), args...)
	c.Stdout, c.Stderr = out, out
	s.must(c.Start())
	exit := make(chan error, 1)
	go func() { exit <- c.Wait() }()
	s.procs[name], s.exits[name] = c, exit
}

func (s *script) signal(name string, sig syscall.Signal) {
	s.must(s.procs[name].Process.Signal(sig))
}

// stop ends the processes that the script started.
func (s *script) stop() {
	for name, p := range s.procs {
		p.Process.Kill()
		<-s.exits[name]
	}
}

func (s *script) publish() {
	c := exec.Command(filepath.Join(bin, "sassafrastray"), "publish", s.dir+"/config", "--store", s.local("127.0.0.1:7000"))
	if out, err := c.CombinedOutput(); err != nil {
		s.t.Fatalf("publish: %v: %s", err, out)
	}
}

func (s *script) get(url string, v any) error {
	c := http.Client{Timeout: 2 * time.Second}
	r, err := c.Get(url)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", r.StatusCode)
	}
	if v == nil {
		return nil
	}
	return json.NewDecoder(r.Body).Decode(v)
}

// save keeps what the backend servers' stand-in says.
func (s *script) save(page string) {
	r, err := http.Get("http://" + s.local("127.0.0.1:7101") + "/control/" + page)
	s.must(err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	s.must(err)
	s.write(page+".json", string(b))
}

func (s *script) put(method, url, body string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	s.must(err)
	answer, err := http.DefaultClient.Do(r)
	s.must(err)
	answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		s.t.Fatalf("%s %s: status %d", url, body, answer.StatusCode)
	}
}

func (s *script) until(limit time.Duration, what string, ok func() error) {
	s.t.Helper()
	end := time.Now().Add(limit)
	for {
		err := ok()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("gave up waiting until %s: %v", what, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
