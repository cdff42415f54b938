package main

import (
	"bytes"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// run plays a command line.
func run(args ...string) (string, error) {
	var out bytes.Buffer
	c := rootCommand()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.Execute()
	return out.String(), err
}

func TestCommands(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"namespaces":[
		{"name":"read","repeat":"safe","target-time-ms":200,"time-limit-ms":750}]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   []string
		fails  bool
		expect string
	}{
		{[]string{"version"}, false, "thistlerudder "},
		{[]string{"check", "--config", file}, false, "listens on 127.0.0.1:1"},
		{[]string{"check", "--config", file + "x"}, true, "configuration: "},
		{[]string{"serve", "--config", ""}, true, "discovery: expected"},
		{[]string{"serve", "--config", file, "--log-level", "loud"}, true, "log-level: "},
		{[]string{"surprise"}, true, "unknown command"},
	} {
		if out, err := run(c.args...); (err != nil) != c.fails || !strings.Contains(out, c.expect) {
			t.Errorf("%v: %v, said %q", c.args, err, out)
		}
	}
}

// SIGHUP has a running node ask the discovery service that its file names by now; a faulty file changes nothing. The
// node goes on, and SIGTERM ends it with exit status 0, well before SIGKILL may come.
func TestSignals(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	probe.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	replace := func(discovery string) {
		if err := os.WriteFile(file, fmt.Appendf(nil, `{"listen":%q,"discovery":%q,"settings":{"namespaces":[
			{"name":"read","repeat":"safe","target-time-ms":200,"time-limit-ms":750}]}}`, address, discovery), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	replace("127.0.0.1:2")
	asked := make(chan string, 9)
	discovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { asked <- r.URL.Path }))
	defer discovery.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := run("serve", "--config", file, "--log-level", "error")
		ended <- err
	}()
	for {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
			break
		}
		select {
		case err := <-ended:
			t.Fatal("ended by itself: ", err)
		case <-time.After(10 * time.Millisecond):
		}
	}
	if stdlog.Writer() == os.Stderr {
		t.Error("the libraries' own lines come on standard error as they are")
	}
	t.Setenv("BALANCER_DISCOVERY", "127.0.0.1:2") // of the start; it stands behind the file from then on
	for _, to := range []string{"nowhere", discovery.Listener.Addr().String()} {
		replace(to)
		for range 2 {
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	select {
	case path := <-asked:
		if path != "/discovery/hosts" {
			t.Error(path)
		}
	case <-time.After(3 * time.Second):
		t.Error("the new discovery service was not asked")
	}
	began := time.Now()
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil || time.Since(began) > 1400*time.Millisecond {
		t.Errorf("ended after %v: %v", time.Since(began), err)
	}
}
