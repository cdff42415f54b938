package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
)

// standsStill is the name under which a process of this test's own hears where it is to serve.
const standsStill = "NODE_THAT_STANDS_STILL"

// TestANodeThatStandsStill is that process.
func TestANodeThatStandsStill(t *testing.T) {
	var at struct{ Listen, Admin, Discovery string }
	if err := json.Unmarshal([]byte(os.Getenv(standsStill)), &at); err != nil {
		t.Skip("runs only as a process of another test")
	}
	namespace := func(name, repeat string) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "target-time-ms": 4800., "time-limit-ms": 5000.}
	}
	d, err := config.ParseSettings(map[string]any{"models": []any{"box", "origin"}, "domain": map[string]any{"mode": "aside", "origin-kind": 1.},
		"permissions": map[string]any{"most-shots": 3., "connect-timeout-ms": 4500.},
		"namespaces":  []any{namespace("read", "safe"), namespace("once", "unsafe")}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := Run(ctx, &config.Node{Name: "n", Listen: at.Listen, Admin: at.Admin, Discovery: at.Discovery, Cores: 1, MemoryMB: 192,
		Descriptors: 128, Settings: d}, nil, zap.NewNop()); err != nil {
		t.Fatal(err)
	}
}

// A process that has no core while a client goes, and while what its request waits for happens, finds both when it runs again: nothing is
// sent on for who has gone, and who stays is served.
func TestNoAttemptBeginsWhenAProcessRunsAgain(t *testing.T) {
	for _, c := range []struct {
		place, hold, miss string
		deaf              bool
		first, more       string
	}{
		{place: "behind a fetch", hold: "o at z", miss: "o at a", first: "GET /read/k"},
		{place: "between two attempts", hold: "t at a", miss: "t at a", first: "GET /read/k"},
		{place: "for a connection", deaf: true, first: "PUT /once/k", more: "Content-Length: 1\r\n\r\nv"},
		{place: "for a second attempt's connection", miss: "t at a", deaf: true, first: "GET /read/k"},
	} {
		for _, goes := range []string{"closes", "resets", stays} {
			for _, behind := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, behind %v", c.place, goes, behind), func(t *testing.T) {
					t.Parallel()
					g := gate(t, c.hold, c.miss, c.deaf)
					at, _ := json.Marshal(map[string]string{"Listen": g.station.Listen, "Admin": g.station.Admin, "Discovery": g.station.Discovery})
					node := exec.Command(os.Args[0], "-test.run=^TestANodeThatStandsStill$", "-test.timeout=60s")
					node.Env = append(os.Environ(), standsStill+"="+string(at), "TMPDIR="+t.TempDir())
					if err := node.Start(); err != nil {
						t.Fatal(err)
					}
					defer func() {
						_ = node.Process.Signal(syscall.SIGCONT)
						_ = node.Process.Signal(syscall.SIGTERM)
						_ = node.Wait()
					}()
					for by := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
						if status, _ := operator(g.station.Admin, "GET", "/status"); status == http.StatusOK {
							break
						} else if time.Now().After(by) {
							t.Fatal("the process does not get ready")
						}
					}
					client := func(id, first, more string) *net.TCPConn {
						conn, err := net.Dial("tcp", g.station.Listen)
						if err != nil {
							t.Fatal(err)
						}
						t.Cleanup(func() { conn.Close() })
						fmt.Fprint(conn, lookup(first, id, more))
						return conn.(*net.TCPConn)
					}
					arrived := func(at string) {
						t.Helper()
						for by := time.Now().Add(4 * time.Second); g.came(at) == 0; time.Sleep(time.Millisecond) {
							if time.Now().After(by) {
								t.Fatalf("%s has not come", at)
							}
						}
					}
					before := 0
					if strings.HasPrefix(c.hold, "o") {
						client("o", "GET /read/k", "")
						arrived(c.hold)
						before = 1
					}
					conn := client("t", c.first, c.more)
					g.until("open_requests", before+1)
					if strings.HasPrefix(c.miss, "t") {
						arrived(c.miss)
					}
					if c.deaf {
						time.Sleep(30 * time.Millisecond) // its dial has begun
					}
					if behind {
						fmt.Fprint(conn, lookup("GET /read/other", "u", ""))
						time.Sleep(10 * time.Millisecond)
					}
					_ = node.Process.Signal(syscall.SIGSTOP)
					switch goes {
					case "closes":
						conn.Close()
					case "resets":
						_ = conn.SetLinger(0)
						conn.Close()
					}
					close(g.open)
					time.Sleep(goneFor)
					if c.deaf {
						time.Sleep(1200 * time.Millisecond) // it comes up with the second try of the kernel's
					}
					_ = node.Process.Signal(syscall.SIGCONT)
					in := bufio.NewReader(conn)
					for i := 0; goes == stays && i < 2; i++ {
						if i == 1 && !behind {
							break
						}
						_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
						r, err := http.ReadResponse(in, nil)
						if err != nil {
							t.Fatal(err)
						}
						r.Body.Close()
						if r.StatusCode != http.StatusOK {
							t.Errorf("a client that stays: %d", r.StatusCode)
						}
					}
					g.until("open_requests", 0)
					time.Sleep(30 * time.Millisecond)
					g.mu.Lock()
					defer g.mu.Unlock()
					for at, n := range g.seen {
						if ours := strings.HasPrefix(at, "t at") || strings.HasPrefix(at, "u at"); ours && goes != stays && at != c.miss {
							t.Errorf("%s: %d attempts were sent on", at, n)
						}
					}
				})
			}
		}
	}
}
