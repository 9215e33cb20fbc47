package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"
)

// scripts counts the scripts, each of which gets an IP address of its own.
var scripts atomic.Uint32

// timeout bounds the start of a server and an HTTP call.
const timeout = 30 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"standin": main})
}

// TestScripts runs the scripts in testdata. Each has free addresses in $A, $B and
// $C.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setAddresses,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"listens":  listens,
			"http":     call,
			"env-file": expandFile,
		},
	})
}

// setAddresses finds free ports at an IP address that only this script uses.
func setAddresses(e *testscript.Env) error {
	ip := fmt.Sprintf("127.0.43.%d:0", scripts.Add(1))
	for _, name := range []string{"A", "B", "C"} {
		ln, err := net.Listen("tcp", ip)
		if err != nil {
			return err
		}
		e.Setenv(name, ln.Addr().String())
		ln.Close()
	}
	return nil
}

// listens waits until something listens at the address.
func listens(ts *testscript.TestScript, _ bool, args []string) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", args[0]); err == nil {
			conn.Close()
			return
		}
	}
	ts.Fatalf("nothing listens at %s", args[0])
}

// expandFile replaces the variables in a file by their values.
func expandFile(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// call sends METHOD URL [BODY [IF-VERSION]] and prints the status and the
// answer's body.
func call(ts *testscript.TestScript, neg bool, args []string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(args[0])
	req.SetRequestURI(args[1])
	if len(args) > 2 {
		req.SetBodyString(args[2])
	}
	if len(args) > 3 {
		req.Header.Set("If-Version", args[3])
	}
	err := fasthttp.DoTimeout(req, resp, timeout)
	if neg != (err != nil || resp.StatusCode() >= fasthttp.StatusBadRequest) {
		ts.Fatalf("status %d, %v: %s", resp.StatusCode(), err, resp.Body())
	}
	fmt.Fprintf(ts.Stdout(), "%d %s\n", resp.StatusCode(), resp.Body())
}

func TestUsage(t *testing.T) {
	std := &streams{out: io.Discard, err: io.Discard}
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"--help"}, 0},
		{[]string{"store", "--listen", "nowhere"}, 2},
		{[]string{"load", "/nonexistent"}, 2},
		{[]string{"nonsense"}, 2},
	} {
		if got := run(c.args, std); got != c.want {
			t.Errorf("%v: exit code %d, want %d", c.args, got, c.want)
		}
	}
}
