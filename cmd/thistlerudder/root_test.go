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

// run executes the program with arguments, and returns what it printed.
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
	configFile := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(configFile, []byte(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"namespaces":[
		{"name":"read","repeat":"safe","target-time-ms":200,"time-limit-ms":750}]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args       []string
		wantErr    bool
		wantOutput string
	}{
		{[]string{"version"}, false, "thistlerudder "},
		{[]string{"check", "--config", configFile}, false, "listens on 127.0.0.1:1"},
		{[]string{"check", "--config", configFile + "x"}, true, "configuration: "},
		{[]string{"serve", "--config", ""}, true, "discovery: expected"},
		{[]string{"serve", "--config", configFile, "--log-level", "loud"}, true, "log-level: "},
		{[]string{"surprise"}, true, "unknown command"},
	} {
		if out, err := run(c.args...); (err != nil) != c.wantErr || !strings.Contains(out, c.wantOutput) {
			t.Errorf("%v: %v, output %q", c.args, err, out)
		}
	}
}

// At SIGHUP, a running node reloads its configuration and switches to the discovery service in it; an invalid file changes nothing.
// SIGTERM shuts the node down without an error, well before the platform sends SIGKILL.
func TestServeReloadsOnSIGHUPExitsOnSIGTERM(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	configFile := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(discovery string) {
		if err := os.WriteFile(configFile, fmt.Appendf(nil, `{"listen":%q,"discovery":%q,"settings":{"namespaces":[
			{"name":"read","repeat":"safe","target-time-ms":200,"time-limit-ms":750}]}}`, address, discovery), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeConfig("127.0.0.1:2")
	discoveryPaths := make(chan string, 9)
	discovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { discoveryPaths <- r.URL.Path }))
	defer discovery.Close()
	serveErr := make(chan error, 1)
	go func() {
		_, err := run("serve", "--config", configFile, "--log-level", "error")
		serveErr <- err
	}()
	for {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
			break
		}
		select {
		case err := <-serveErr:
			t.Fatal("ended by itself: ", err)
		case <-time.After(10 * time.Millisecond):
		}
	}
	if stdlog.Writer() == os.Stderr {
		t.Error("the standard logger writes to standard error, and not through the program's logger")
	}
	t.Setenv("BALANCER_DISCOVERY", "127.0.0.1:2") // a node that runs reloads the address from the file, which overrides the variable
	for _, discoveryAddress := range []string{"nowhere", discovery.Listener.Addr().String()} {
		writeConfig(discoveryAddress)
		for range 2 {
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	select {
	case path := <-discoveryPaths:
		if path != "/discovery/hosts" {
			t.Error(path)
		}
	case <-time.After(3 * time.Second):
		t.Error("the new discovery service was not asked")
	}
	signalTime := time.Now()
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-serveErr; err != nil || time.Since(signalTime) > 1400*time.Millisecond {
		t.Errorf("ended after %v: %v", time.Since(signalTime), err)
	}
}
