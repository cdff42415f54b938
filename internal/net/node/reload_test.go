package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/discovery"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// A signal may arrive while the file is being written, or while an earlier signal is pending. The content of the file when the last signal is
// handled applies, and a truncated file changes nothing.
func TestReloadUsesLatestConfigurationAtPendingSignal(t *testing.T) {
	var polls [3]atomic.Int64
	var addresses [3]string
	for i := range polls {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			polls[i].Add(1)
			if r.URL.RawQuery != "" {
				<-r.Context().Done()
			}
			fmt.Fprint(w, `{"version":1,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","kind":"box","state":"Ready"}]}`)
		}))
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		addresses[i] = s.Listener.Addr().String()
	}
	path := filepath.Join(t.TempDir(), "node.json")
	write := func(service, divisor int) {
		text := fmt.Sprintf(`{"listen":"127.0.0.1:7070","discovery":%q,"settings":{"namespaces":[{"name":"read","repeat":"safe",
			"target-time-ms":200,"time-limit-ms":750}]}}`, addresses[service])
		if err := os.WriteFile(path, []byte(text)[:len(text)/divisor], 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(0, 1)
	s, err := config.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	dispatcher := dispatch.New(s.Settings, zap.NewNop())
	endpoints := discovery.New(dispatcher, s.Discovery, time.Second, zap.NewNop())
	dispatcher.Start(1, nil, endpoints)
	go endpoints.Run(t.Context())
	signals := make(chan os.Signal, 1)
	write(1, 1)
	signals <- syscall.SIGHUP // pending: reloadOnSignal has not started
	write(2, 1)
	select {
	case signals <- syscall.SIGHUP:
		t.Fatal("two signals are pending, want one")
	default: // the pending signal covers both changes
	}
	go reloadOnSignal(t.Context(), signals, s, endpoints, zap.New(core))
	waitFor := func(what string, condition func() bool) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal(what)
			}
		}
	}
	waitFor("the discovery service of the latest file is not polled", func() bool { return polls[2].Load() > 0 })
	write(0, 2)
	signals <- syscall.SIGHUP
	waitFor("a truncated file is not logged as invalid", func() bool {
		return logs.FilterMessage("new configuration is invalid, keeping the old one").Len() == 1
	})
	before := polls[2].Load()
	waitFor("a truncated file stopped the polls of the current discovery service", func() bool { return polls[2].Load() > before })
	if polls[1].Load() > 0 {
		t.Error("the discovery service of an overwritten file was polled")
	}
	write(1, 1)
	signals <- syscall.SIGHUP
	waitFor("the discovery service of the complete file is not polled", func() bool { return polls[1].Load() > 0 })
}

// A configuration file may be unreadable when the signal arrives: the process is out of descriptors, the disk fails, or the file is being
// replaced. It is read as soon as that is possible, and the node switches its discovery service without another signal.
func TestReloadRetriesUnreadableConfiguration(t *testing.T) {
	var polls atomic.Int64
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polls.Add(1)
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
		fmt.Fprint(w, `{"version":1,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","kind":"box","state":"Ready"}]}`)
	}))
	t.Cleanup(func() { service.CloseClientConnections(); service.Close() })
	text := func(address string) []byte {
		return fmt.Appendf(nil, `{"listen":"127.0.0.1:7070","discovery":%q,"settings":{"namespaces":[{"name":"read","repeat":"safe",
			"target-time-ms":200,"time-limit-ms":750}]}}`, address)
	}
	path := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(path, text("127.0.0.1:1"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := config.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	dispatcher := dispatch.New(s.Settings, zap.NewNop())
	endpoints := discovery.New(dispatcher, s.Discovery, time.Second, zap.NewNop())
	dispatcher.Start(1, nil, endpoints)
	go endpoints.Run(t.Context())
	signals := make(chan os.Signal, 1)
	go reloadOnSignal(t.Context(), signals, s, endpoints, zap.New(core))
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	signals <- syscall.SIGHUP
	time.Sleep(300 * time.Millisecond)
	if n := logs.FilterLevelExact(zap.ErrorLevel).Len(); n != 1 {
		t.Errorf("an unreadable file was logged %d times, want once", n)
	}
	if err := os.WriteFile(path+".new", text(service.Listener.Addr().String()), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(2 * time.Second); polls.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the new discovery service is not polled within 2 s after the file became readable")
		}
	}
}
