//go:build faults

package faults

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// UsageVariable names the file to which a process writes its Usage at each SIGUSR2.
const UsageVariable = "THISTLERUDDER_USAGE"

// Traffic counts what this process has sent and received since its start over the connections of one purpose. Sent and
// Received are bytes of TCP payload. Each message is written whole, so Writes counts messages. Reads leaves out reads of a
// single byte, as the handshake is read byte by byte.
type Traffic struct{ Sent, Received, Writes, Reads, Connections int64 }

// Usage holds the resources that this process has used since its start.
type Usage struct {
	Traffic             map[string]Traffic // by purpose
	CPUBefore, CPUAfter int64              // user and system time in ns, before and after the garbage collection of MeasureUsage
	Heap                uint64             // live bytes after the garbage collection
	Goroutines          int
}

type connCounters struct{ sent, received, writes, reads, connections atomic.Int64 }

var countersByPurpose sync.Map // purposes to *connCounters

func countersFor(purpose string) *connCounters {
	c, _ := countersByPurpose.LoadOrStore(purpose, &connCounters{})
	return c.(*connCounters)
}

// countingConn is a connection whose traffic is counted.
type countingConn struct {
	net.Conn
	counters *connCounters
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.received.Add(int64(n))
	if n > 1 {
		c.counters.reads.Add(1)
	}
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.sent.Add(int64(n))
	c.counters.writes.Add(1)
	return n, err
}

// CountConn wraps a connection to count its traffic under a purpose.
func CountConn(purpose string, c net.Conn) net.Conn {
	counters := countersFor(purpose)
	counters.connections.Add(1)
	return countingConn{c, counters}
}

// CountDialer wraps a dialer to count the traffic of its connections under a purpose.
func CountDialer(purpose string, dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return CountConn(purpose, c), nil
	}
}

func cpuTime() int64 {
	var rusage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &rusage)
	return rusage.Utime.Nano() + rusage.Stime.Nano()
}

// MeasureUsage returns the resources used so far. It runs a garbage collection to measure the live heap.
func MeasureUsage() Usage {
	u := Usage{Traffic: map[string]Traffic{}, CPUBefore: cpuTime()}
	countersByPurpose.Range(func(purpose, v any) bool {
		c := v.(*connCounters)
		u.Traffic[purpose.(string)] = Traffic{c.sent.Load(), c.received.Load(), c.writes.Load(), c.reads.Load(), c.connections.Load()}
		return true
	})
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap, u.Goroutines, u.CPUAfter = m.HeapAlloc, runtime.NumGoroutine(), cpuTime()
	return u
}

func init() {
	path := os.Getenv(UsageVariable)
	if path == "" {
		return
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR2)
	go func() {
		for range signals {
			b, _ := json.Marshal(MeasureUsage())
			if os.WriteFile(path+".new", b, 0o600) == nil {
				_ = os.Rename(path+".new", path)
			}
		}
	}()
}
