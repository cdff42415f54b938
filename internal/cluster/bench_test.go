package cluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/rpc/jsonrpc"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/lease"
)

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// headerBytes is the size of the IP and TCP headers of a segment: 20 bytes each, and 12 for timestamps.
const headerBytes = 52

// bytesOnWire returns what the kernel has sent and received on a connection: segments with their headers.
func bytesOnWire(b *testing.B, c net.Conn) (out, in float64) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		b.Fatal(err)
	}
	var info *unix.TCPInfo
	if other := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); other != nil || err != nil {
		b.Fatal(other, err)
	}
	return float64(info.Bytes_sent) + headerBytes*float64(info.Segs_out), float64(info.Bytes_received) + headerBytes*float64(info.Segs_in)
}

// leaderClient returns a node's connection to the leader of three voters, and the request that renews the lease of its name.
func leaderClient(b *testing.B) (c *Client, conn net.Conn, a lease.Request) {
	all := clusterConfigs(b, 3)
	nodes := startCluster(b, all)
	eventually(b, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	s, err := nodes[0].client.Status()
	if err != nil {
		b.Fatal(err)
	}
	c = NewClient(all[0], zap.NewNop())
	if conn, err = c.dialer.Dial(s.LeaderAddress, transport.PurposeRPC, "", time.Second); err != nil {
		b.Fatal(err)
	}
	c.conn, c.address = jsonrpc.NewClient(conn), s.LeaderAddress
	b.Cleanup(c.Close)
	h := lease.Holder{Name: "edge-r07-z21-00042", Process: 4242, Start: processStart.UnixMilli()*1000 + 1}
	x, err := c.send(lease.Request{Operation: lease.OpAcquire, Name: nodeLease(h.Name), Holder: h})
	if err != nil || x.Err != nil {
		b.Fatal(err, x.Err)
	}
	return c, conn, lease.Request{Operation: lease.OpRenew, Name: nodeLease(h.Name), Holder: h, Token: x.Token}
}

// measureCall repeats a call and reports its bytes on the wire, headers included.
func measureCall(b *testing.B, conn net.Conn, call func() error) {
	if err := call(); err != nil {
		b.Fatal(err)
	}
	out, in := bytesOnWire(b, conn)
	b.ReportAllocs()
	for b.Loop() {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	moreOut, moreIn := bytesOnWire(b, conn)
	b.ReportMetric((moreOut-out)/float64(b.N), "out-B/op")
	b.ReportMetric((moreIn-in)/float64(b.N), "in-B/op")
}

// BenchmarkARenewal is one node's renewal on the wire.
func BenchmarkARenewal(b *testing.B) {
	c, conn, a := leaderClient(b)
	measureCall(b, conn, func() error {
		x, err := c.send(a)
		if err == nil {
			err = x.Err
		}
		return err
	})
}

// BenchmarkAWait is one request for a task that another holds, which is refused.
func BenchmarkAWait(b *testing.B) {
	c, conn, a := leaderClient(b)
	if x, err := c.send(lease.Request{Operation: lease.OpAcquire, Name: "probe", Holder: a.Holder}); err != nil || x.Err != nil {
		b.Fatal(err, x.Err)
	}
	other := lease.Holder{Name: "edge-r07-z21-00043", Process: 4243, Start: a.Holder.Start}
	measureCall(b, conn, func() error {
		_, err := c.send(lease.Request{Operation: lease.OpAcquire, Name: "probe", Holder: other})
		return err
	})
}

// BenchmarkAReport reports a number of ejected servers to the leader, and gets the results of their probes.
func BenchmarkAReport(b *testing.B) {
	for _, resting := range []int{1, 10, 70, 248, 1000} {
		b.Run(fmt.Sprint("resting=", resting), func(b *testing.B) {
			c, conn, _ := leaderClient(b)
			r := &EjectionReport{map[string]string{}}
			for i := range resting {
				r.Servers[fmt.Sprintf("cache-07-21-%05d", i)] = fmt.Sprintf("10.0.%d.%d:8080", i>>8, i&255)
			}
			var due []lease.Probe
			token := uint64(1 << 40)
			if err := c.callCurrent("Fleet.Rest", r, &[]lease.ProbeStatus{}); err != nil {
				b.Fatal(err)
			}
			if err := c.callCurrent("Fleet.Due", &token, &due); err != nil {
				b.Fatal(err)
			}
			for _, t := range due {
				if err := c.callCurrent("Fleet.Result", &ProbeReport{token, t.ID, false}, &struct{}{}); err != nil {
					b.Fatal(err)
				}
			}
			measureCall(b, conn, func() error {
				var news []lease.ProbeStatus
				err := c.callCurrent("Fleet.Rest", r, &news)
				if err == nil && len(news) != resting {
					err = fmt.Errorf("news of %d of %d", len(news), resting)
				}
				return err
			})
		})
	}
}

// BenchmarkAnAsking is one quota request for a number of budgets: without updates, and with updates of all.
func BenchmarkAnAsking(b *testing.B) {
	for _, news := range []bool{false, true} {
		for _, budgets := range []int{1, 2, 4, 8} {
			b.Run(fmt.Sprintf("news=%v/budgets=%d", news, budgets), func(b *testing.B) {
				c, conn, a := leaderClient(b)
				ask := budget.Request{Lease: a.Name, Token: a.Token, Weight: 1, Wait: lease.Time(200 * lease.Millisecond), Declared: map[string]lease.BudgetConfig{}}
				for i := range budgets {
					name := fmt.Sprint("origin-rate-", i)
					ask.Declared[name] = lease.BudgetConfig{Kind: lease.RateKind, Resource: "origin", Units: 4000, RatePerUnit: 2.5, ReservedPerNode: 1, MaxNodes: 300}
					ask.Holdings = append(ask.Holdings, budget.Holding{Budget: name, Demand: 3, ShrinkTo: -1})
				}
				var x QuotaResponse
				eventually(b, "no parts", func() bool {
					x = QuotaResponse{}
					if err := c.callCurrentTimeout("Fleet.Part", &ask, &x, time.Second); err != nil {
						b.Fatal(err)
					}
					for _, n := range x.Updates {
						for i := range ask.Holdings {
							if h := &ask.Holdings[i]; h.Budget == n.Budget {
								h.Token, h.Units, h.ShrinkTo, h.Revision = n.Quota.Token, n.Quota.Units, n.ShrinkTo, n.Config.Revision
							}
						}
					}
					done := len(x.Updates) == 0
					for _, h := range ask.Holdings {
						done = done && h.Token > 0
					}
					return done
				})
				if ask.Declared, ask.Wait = nil, 0; news {
					for i := range ask.Holdings {
						ask.Holdings[i].Token = 1 // an earlier one
					}
				}
				measureCall(b, conn, func() error {
					x = QuotaResponse{}
					err := c.callCurrentTimeout("Fleet.Part", &ask, &x, time.Second)
					if err == nil && news != (len(x.Updates) == budgets) {
						err = fmt.Errorf("%d news", len(x.Updates))
					}
					return err
				})
			})
		}
	}
}

// relay forwards connections to an address, and counts bytes both ways, without headers.
func relay(b *testing.B, to string) (at string, t *traffic) {
	t = new(traffic)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(func() { stop(); _ = l.Close() })
	pass := func(from, into net.Conn) {
		defer into.Close()
		_, _ = io.Copy(counted{into, t}, from)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				o, err := net.Dial("tcp", to)
				if err != nil {
					_ = c.Close()
					return
				}
				context.AfterFunc(ctx, func() { _ = c.Close(); _ = o.Close() })
				go pass(c, o)
				pass(o, c)
			}()
		}
	}()
	return l.Addr().String(), t
}

// traffic counts what a relay has forwarded. A write is a message or a few that came together.
type traffic struct{ bytes, writes atomic.Int64 }

type counted struct {
	io.Writer
	*traffic
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Writer.Write(p)
	c.bytes.Add(int64(n))
	c.writes.Add(1)
	return n, err
}

// BenchmarkPeace is a second of three idle voters in one process with leases of 3 s: the bytes of heartbeats and of renewals of
// their names, and the processor time. Bytes go through relays, whose processor time is included.
func BenchmarkPeace(b *testing.B) {
	all := clusterConfigs(b, 3)
	var relays []*traffic
	routes := map[string]string{}
	for _, f := range all {
		at, n := relay(b, f.Address)
		routes[f.Address] = at
		relays = append(relays, n)
	}
	for _, f := range all {
		f.Lease, f.MaxDelay, f.DialOverrides = 3*time.Second, 50*time.Millisecond, routes
	}
	nodes := startCluster(b, all)
	eventually(b, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	sum := func() (bytes, writes int64) {
		for _, x := range relays {
			bytes, writes = bytes+x.bytes.Load(), writes+x.writes.Load()
		}
		return bytes, writes
	}
	bytes, writes := sum()
	used := processorTime()
	began := time.Now()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	span := time.Since(began).Seconds()
	bytesNow, writesNow := sum()
	b.ReportMetric(float64(bytesNow-bytes)/span, "B/s")
	b.ReportMetric(float64(writesNow-writes)/span, "writes/s")
	b.ReportMetric(100*(processorTime()-used).Seconds()/span, "%core")
}

// startHolders holds a number of leases of 3 s, each over its own connection, and counts those that are lost.
func startHolders(b *testing.B, holders int) (lost *atomic.Int64) {
	all := clusterConfigs(b, 3)
	for _, f := range all {
		f.Lease, f.MaxDelay = 3*time.Second, 50*time.Millisecond
	}
	nodes := startCluster(b, all)
	eventually(b, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	ctx, stop := context.WithCancel(context.Background())
	lost = new(atomic.Int64)
	var held, keeping sync.WaitGroup
	b.Cleanup(func() { stop(); keeping.Wait() })
	for i := range holders {
		f := *all[0]
		f.Node, f.DataDir = fmt.Sprintf("edge-%05d", i), ""
		c := NewClient(&f, zap.NewNop())
		held.Add(1)
		first := sync.OnceFunc(held.Done)
		keeping.Go(func() {
			defer c.Close()
			c.Hold(ctx, nodeLease(f.Node), func(holds context.Context, _ *HeldLease) bool {
				first()
				<-holds.Done()
				if ctx.Err() == nil {
					lost.Add(1)
				}
				return true
			})
		})
	}
	held.Wait()
	time.Sleep(time.Second)
	return lost
}

// BenchmarkHolders renews a number of leases at their holders' rate, once a second each, and reports the processor time of
// holders and voters together.
func BenchmarkHolders(b *testing.B) {
	for _, holders := range []int{50, 100, 200, 400, 800, 900, 1000} {
		b.Run(fmt.Sprint("holders=", holders), func(b *testing.B) {
			lost := startHolders(b, holders)
			used := processorTime()
			began := time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			span := time.Since(began).Seconds()
			b.ReportMetric(100*(processorTime()-used).Seconds()/span, "%core")
			b.ReportMetric(float64(lost.Load()), "lost")
		})
	}
}

// BenchmarkStall suspends voters and holders, which are one process, for a third of a lease: all calls time out, another voter
// leads, and all holders reconnect. It reports how many lose their leases. Run it with -benchtime 1x.
func BenchmarkStall(b *testing.B) {
	for _, holders := range []int{100, 200, 400, 500, 600, 800} {
		b.Run(fmt.Sprint("holders=", holders), func(b *testing.B) {
			lost := startHolders(b, holders)
			for b.Loop() {
				pid := os.Getpid()
				if err := exec.Command("sh", "-c", fmt.Sprintf("kill -STOP %d; sleep 1; kill -CONT %d", pid, pid)).Run(); err != nil {
					b.Fatal(err)
				}
				time.Sleep(4 * time.Second)
			}
			b.ReportMetric(float64(lost.Load())/float64(b.N), "lost/op")
		})
	}
}
