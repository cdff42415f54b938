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

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// headerBytes is the size of the IP and TCP headers of a segment: 20 bytes each, and 12 for timestamps.
const headerBytes = 52

// bytesOnWire returns the bytes that the kernel has sent and received on a connection, including the headers of segments.
func bytesOnWire(b *testing.B, c net.Conn) (sent, received float64) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		b.Fatal(err)
	}
	var info *unix.TCPInfo
	if controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); controlErr != nil || err != nil {
		b.Fatal(controlErr, err)
	}
	return float64(info.Bytes_sent) + headerBytes*float64(info.Segs_out), float64(info.Bytes_received) + headerBytes*float64(info.Segs_in)
}

// leaderClient starts three voters. It returns a node's client, its connection to the leader, and the request that renews the
// lease of the node's name.
func leaderClient(b *testing.B) (c *Client, conn net.Conn, renewal lease.Request) {
	configs := clusterConfigs(b, 3)
	nodes := startCluster(b, configs)
	eventually(b, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	s, err := nodes[0].client.Status()
	if err != nil {
		b.Fatal(err)
	}
	c = NewClient(configs[0], zap.NewNop())
	if conn, err = c.dialer.Dial(s.LeaderAddress, transport.PurposeRPC, "", time.Second); err != nil {
		b.Fatal(err)
	}
	c.conn, c.address = jsonrpc.NewClient(conn), s.LeaderAddress
	b.Cleanup(c.Close)
	holder := lease.Holder{Name: "edge-r07-z21-00042", Process: 4242, Start: processStart.UnixMilli()*1000 + 1}
	response, err := c.send(lease.Request{Operation: lease.OpAcquire, Name: nodeLease(holder.Name), Holder: holder})
	if err != nil || response.Err != nil {
		b.Fatal(err, response.Err)
	}
	return c, conn, lease.Request{Operation: lease.OpRenew, Name: nodeLease(holder.Name), Holder: holder, Token: response.Token}
}

// measureCall repeats a call and reports its bytes on the wire, headers included.
func measureCall(b *testing.B, conn net.Conn, call func() error) {
	if err := call(); err != nil {
		b.Fatal(err)
	}
	sent, received := bytesOnWire(b, conn)
	b.ReportAllocs()
	for b.Loop() {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	sentAfter, receivedAfter := bytesOnWire(b, conn)
	b.ReportMetric((sentAfter-sent)/float64(b.N), "out-B/op")
	b.ReportMetric((receivedAfter-received)/float64(b.N), "in-B/op")
}

// BenchmarkRenewalBytes measures one node's renewal of its lease.
func BenchmarkRenewalBytes(b *testing.B) {
	c, conn, renewal := leaderClient(b)
	measureCall(b, conn, func() error {
		response, err := c.send(renewal)
		if err == nil {
			err = response.Err
		}
		return err
	})
}

// BenchmarkRefusedAcquireBytes measures one request for the lease of a task that another node holds, which is refused.
func BenchmarkRefusedAcquireBytes(b *testing.B) {
	c, conn, renewal := leaderClient(b)
	if response, err := c.send(lease.Request{Operation: lease.OpAcquire, Name: "probe", Holder: renewal.Holder}); err != nil || response.Err != nil {
		b.Fatal(err, response.Err)
	}
	otherHolder := lease.Holder{Name: "edge-r07-z21-00043", Process: 4243, Start: renewal.Holder.Start}
	measureCall(b, conn, func() error {
		_, err := c.send(lease.Request{Operation: lease.OpAcquire, Name: "probe", Holder: otherHolder})
		return err
	})
}

// BenchmarkEjectionReportBytes measures one report of ejected servers to the leader, which returns the results of their probes.
func BenchmarkEjectionReportBytes(b *testing.B) {
	for _, ejected := range []int{1, 10, 70, 248, 1000} {
		b.Run(fmt.Sprint("resting=", ejected), func(b *testing.B) {
			c, conn, _ := leaderClient(b)
			report := &EjectionReport{map[string]string{}}
			for i := range ejected {
				report.Servers[fmt.Sprintf("cache-07-21-%05d", i)] = fmt.Sprintf("10.0.%d.%d:8080", i>>8, i&255)
			}
			var due []lease.Probe
			token := uint64(1 << 40)
			if err := c.callCurrent("Fleet.Rest", report, &[]lease.ProbeStatus{}); err != nil {
				b.Fatal(err)
			}
			if err := c.callCurrent("Fleet.Due", &token, &due); err != nil {
				b.Fatal(err)
			}
			for _, probe := range due {
				if err := c.callCurrent("Fleet.Result", &ProbeReport{token, probe.ID, false}, &struct{}{}); err != nil {
					b.Fatal(err)
				}
			}
			measureCall(b, conn, func() error {
				var statuses []lease.ProbeStatus
				err := c.callCurrent("Fleet.Rest", report, &statuses)
				if err == nil && len(statuses) != ejected {
					err = fmt.Errorf("%d probe statuses of %d servers", len(statuses), ejected)
				}
				return err
			})
		})
	}
}

// BenchmarkQuotaRequestBytes measures one quota request for a number of budgets, without updates and with updates of all budgets.
func BenchmarkQuotaRequestBytes(b *testing.B) {
	for _, updates := range []bool{false, true} {
		for _, budgets := range []int{1, 2, 4, 8} {
			b.Run(fmt.Sprintf("news=%v/budgets=%d", updates, budgets), func(b *testing.B) {
				c, conn, renewal := leaderClient(b)
				request := budget.Request{Lease: renewal.Name, Token: renewal.Token, Weight: 1, MaxWait: lease.Time(200 * lease.Millisecond), DeclaredConfigs: map[string]lease.BudgetConfig{}}
				for i := range budgets {
					name := fmt.Sprint("origin-rate-", i)
					request.DeclaredConfigs[name] = lease.BudgetConfig{Kind: lease.BudgetKindRate, Resource: "origin", Units: 4000, RatePerUnit: 2.5, ReservedPerNode: 1, MaxNodes: 300}
					request.Reports = append(request.Reports, budget.Report{Budget: name, Demand: 3, ShrinkTo: -1})
				}
				var response QuotaResponse
				eventually(b, "no quotas granted", func() bool {
					response = QuotaResponse{}
					if err := c.callCurrentTimeout("Fleet.Part", &request, &response, time.Second); err != nil {
						b.Fatal(err)
					}
					for _, update := range response.Updates {
						for i := range request.Reports {
							if h := &request.Reports[i]; h.Budget == update.Budget {
								h.Token, h.Units, h.ShrinkTo, h.Revision = update.Quota.Token, update.Quota.Units, update.ShrinkTo, update.Config.Revision
							}
						}
					}
					allGranted := len(response.Updates) == 0
					for _, h := range request.Reports {
						allGranted = allGranted && h.Token > 0
					}
					return allGranted
				})
				if request.DeclaredConfigs, request.MaxWait = nil, 0; updates {
					for i := range request.Reports {
						request.Reports[i].Token = 1 // outdated, so that the response has an update
					}
				}
				measureCall(b, conn, func() error {
					response = QuotaResponse{}
					err := c.callCurrentTimeout("Fleet.Part", &request, &response, time.Second)
					if err == nil && updates != (len(response.Updates) == budgets) {
						err = fmt.Errorf("%d updates", len(response.Updates))
					}
					return err
				})
			})
		}
	}
}

// startRelay forwards connections to an address, and counts the bytes in both directions, without headers.
func startRelay(b *testing.B, target string) (address string, counted *relayTraffic) {
	counted = new(relayTraffic)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(func() { stop(); _ = l.Close() })
	forward := func(source, destination net.Conn) {
		defer destination.Close()
		_, _ = io.Copy(countingWriter{destination, counted}, source)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				targetConn, err := net.Dial("tcp", target)
				if err != nil {
					_ = conn.Close()
					return
				}
				context.AfterFunc(ctx, func() { _ = conn.Close(); _ = targetConn.Close() })
				go forward(conn, targetConn)
				forward(targetConn, conn)
			}()
		}
	}()
	return l.Addr().String(), counted
}

// relayTraffic counts the bytes and writes that a relay has forwarded. A write has one message, or several that arrived together.
type relayTraffic struct{ bytes, writes atomic.Int64 }

type countingWriter struct {
	io.Writer
	*relayTraffic
}

func (c countingWriter) Write(p []byte) (int, error) {
	n, err := c.Writer.Write(p)
	c.bytes.Add(int64(n))
	c.writes.Add(1)
	return n, err
}

// BenchmarkIdleVoters runs three idle voters in one process with leases of 3 s for a second per iteration. It reports the bytes of
// heartbeats and of renewals of the nodes' leases, and the processor time, which includes that of the relays that count the bytes.
func BenchmarkIdleVoters(b *testing.B) {
	configs := clusterConfigs(b, 3)
	var relays []*relayTraffic
	routes := map[string]string{}
	for _, c := range configs {
		address, traffic := startRelay(b, c.Address)
		routes[c.Address] = address
		relays = append(relays, traffic)
	}
	for _, c := range configs {
		c.Lease, c.MaxDelay, c.DialOverrides = 3*time.Second, 50*time.Millisecond, routes
	}
	nodes := startCluster(b, configs)
	eventually(b, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	sumTraffic := func() (bytes, writes int64) {
		for _, relay := range relays {
			bytes, writes = bytes+relay.bytes.Load(), writes+relay.writes.Load()
		}
		return bytes, writes
	}
	bytes, writes := sumTraffic()
	used := processorTime()
	start := time.Now()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	seconds := time.Since(start).Seconds()
	bytesNow, writesNow := sumTraffic()
	b.ReportMetric(float64(bytesNow-bytes)/seconds, "B/s")
	b.ReportMetric(float64(writesNow-writes)/seconds, "writes/s")
	b.ReportMetric(100*(processorTime()-used).Seconds()/seconds, "%core")
}

// startHolders acquires and holds a number of leases of 3 s, each over its own connection, and counts the lost leases.
func startHolders(b *testing.B, holders int) (lost *atomic.Int64) {
	configs := clusterConfigs(b, 3)
	for _, nodeConfig := range configs {
		nodeConfig.Lease, nodeConfig.MaxDelay = 3*time.Second, 50*time.Millisecond
	}
	nodes := startCluster(b, configs)
	eventually(b, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	ctx, stop := context.WithCancel(context.Background())
	lost = new(atomic.Int64)
	var acquired, holding sync.WaitGroup
	b.Cleanup(func() { stop(); holding.Wait() })
	for i := range holders {
		nodeConfig := *configs[0]
		nodeConfig.Node, nodeConfig.DataDir = fmt.Sprintf("edge-%05d", i), ""
		c := NewClient(&nodeConfig, zap.NewNop())
		acquired.Add(1)
		acquiredOnce := sync.OnceFunc(acquired.Done)
		holding.Go(func() {
			defer c.Close()
			c.Hold(ctx, nodeLease(nodeConfig.Node), func(heldCtx context.Context, _ *HeldLease) bool {
				acquiredOnce()
				<-heldCtx.Done()
				if ctx.Err() == nil {
					lost.Add(1)
				}
				return true
			})
		})
	}
	acquired.Wait()
	time.Sleep(time.Second)
	return lost
}

// BenchmarkHolders holds a number of leases, which their holders renew once a second each. It reports the processor time of
// holders and voters together.
func BenchmarkHolders(b *testing.B) {
	for _, holders := range []int{50, 100, 200, 400, 800, 900, 1000} {
		b.Run(fmt.Sprint("holders=", holders), func(b *testing.B) {
			lost := startHolders(b, holders)
			used := processorTime()
			start := time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			seconds := time.Since(start).Seconds()
			b.ReportMetric(100*(processorTime()-used).Seconds()/seconds, "%core")
			b.ReportMetric(float64(lost.Load()), "lost")
		})
	}
}

// BenchmarkStall suspends voters and holders, which run in one process, for a third of a lease. All calls time out, another voter
// becomes leader, and all holders reconnect. It reports the number of lost leases. Run it with -benchtime 1x.
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
