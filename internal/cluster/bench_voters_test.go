package cluster

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/internal/cluster/voterstore"
	"github.com/thistlerudder/thistlerudder/lease"
)

// BenchmarkRenewals renews the leases of 300 holders at three voters in one process, each over its own connection.
func BenchmarkRenewals(b *testing.B) {
	all := clusterConfigs(b, 3)
	nodes := startCluster(b, all)
	eventually(b, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	before, _ := nodes[0].client.Status()
	const holders = 300
	var requests [holders]lease.Request
	var clients [holders]*Client
	for i := range requests {
		clients[i] = NewClient(all[0], zap.NewNop())
		h := lease.Holder{Name: fmt.Sprint("h", i), Process: i}
		x, err := clients[i].send(lease.Request{Operation: lease.OpAcquire, Name: h.Name, Holder: h})
		if err != nil || x.Err != nil {
			b.Fatal(err, x.Err)
		}
		requests[i] = lease.Request{Operation: lease.OpRenew, Name: h.Name, Holder: h, Token: x.Token}
	}
	var used [2]syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used[0])
	var next atomic.Int64
	b.ResetTimer()
	began := time.Now()
	var all2 sync.WaitGroup
	for i := range requests {
		all2.Go(func() {
			for next.Add(1) <= int64(b.N) {
				if x, err := clients[i].send(requests[i]); err != nil || x.Err != nil {
					b.Error(err, x.Err)
					return
				}
			}
		})
	}
	all2.Wait()
	took := time.Since(began)
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used[1])
	b.ReportMetric(float64(b.N)/took.Seconds(), "renewals/s")
	b.ReportMetric(float64(used[1].Utime.Nano()+used[1].Stime.Nano()-used[0].Utime.Nano()-used[0].Stime.Nano())/float64(b.N)/1e3, "cpu-µs/renewal")
	after, _ := nodes[0].client.Status()
	b.ReportMetric(float64(after.Entries-before.Entries-holders), "entries")
}

// BenchmarkRecovery starts a voter on a folder with a log of 16 MB, until it leads again.
func BenchmarkRecovery(b *testing.B) {
	f := clusterConfigs(b, 3)[0]
	p, err := voterstore.OpenIdentity(f.DataDir, f.Name, f.Node)
	if err != nil {
		b.Fatal(err)
	}
	start := func() (*Voter, *transport.Listener) {
		l, err := net.Listen("tcp", f.Address)
		if err != nil {
			b.Fatal(err)
		}
		listener := transport.NewListener(l, transport.ListenerConfig{Cluster: f.Name, MaxConnections: 256, MinIdle: time.Second, HelloTimeout: time.Second,
			VoterID: func() string { return p.ID }})
		go listener.Serve()
		v, err := startVoter(f, p, transport.NewStreamLayer(listener, transport.Dialer{Cluster: f.Name, Node: f.Node}, raft.ServerAddress(f.Address)), zap.NewNop())
		if err != nil {
			b.Fatal(err)
		}
		return v, listener
	}
	v, listener := start()
	alone := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(p.ID), Address: transport.RaftAddress(p.ID, f.Address)}}}
	if err := v.raft.BootstrapCluster(alone).Error(); err != nil {
		b.Fatal(err)
	}
	eventually(b, "no leader", func() bool { return v.raft.State() == raft.Leader })
	_, _ = v.propose(lease.Entry{Kind: lease.KindFoundCluster, Name: "f"})
	_, _ = v.propose(lease.Entry{Kind: lease.KindGrant, Name: "big"})
	for i := range 4000 {
		_, _ = v.propose(lease.Entry{Kind: lease.KindEffect, Name: "big", Token: 1, Effect: "big", Number: uint64(i + 1), Value: make([]byte, 3<<10)})
	}
	for b.Loop() {
		v.shutDown(nil)
		listener.Close()
		v, listener = start()
		for !func() bool { v.mu.Lock(); defer v.mu.Unlock(); return v.leases.IsLeader() }() {
			time.Sleep(time.Millisecond)
		}
	}
	i, _ := os.Stat(filepath.Join(f.DataDir, voterstore.LogFile))
	b.ReportMetric(float64(i.Size())/(1<<20), "MB")
	v.shutDown(nil)
	listener.Close()
}
