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

// BenchmarkRenewals renews the leases of 300 holders, each over its own connection, with three voters in the same process.
func BenchmarkRenewals(b *testing.B) {
	configs := clusterConfigs(b, 3)
	nodes := startCluster(b, configs)
	eventually(b, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	before, _ := nodes[0].client.Status()
	const holders = 300
	var requests [holders]lease.Request
	var clients [holders]*Client
	for i := range requests {
		clients[i] = NewClient(configs[0], zap.NewNop())
		holder := lease.Holder{Name: fmt.Sprint("h", i), Process: i}
		response, err := clients[i].send(lease.Request{Operation: lease.OpAcquire, Name: holder.Name, Holder: holder})
		if err != nil || response.Err != nil {
			b.Fatal(err, response.Err)
		}
		requests[i] = lease.Request{Operation: lease.OpRenew, Name: holder.Name, Holder: holder, Token: response.Token}
	}
	var usage [2]syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage[0])
	var started atomic.Int64
	b.ResetTimer()
	start := time.Now()
	var renewing sync.WaitGroup
	for i := range requests {
		renewing.Go(func() {
			for started.Add(1) <= int64(b.N) {
				if response, err := clients[i].send(requests[i]); err != nil || response.Err != nil {
					b.Error(err, response.Err)
					return
				}
			}
		})
	}
	renewing.Wait()
	elapsed := time.Since(start)
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage[1])
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "renewals/s")
	b.ReportMetric(float64(usage[1].Utime.Nano()+usage[1].Stime.Nano()-usage[0].Utime.Nano()-usage[0].Stime.Nano())/float64(b.N)/1e3, "cpu-µs/renewal")
	after, _ := nodes[0].client.Status()
	b.ReportMetric(float64(after.Entries-before.Entries-holders), "entries")
}

// BenchmarkRecovery measures the time from the start of a voter on a folder with a log of 16 MB until it is the leader.
func BenchmarkRecovery(b *testing.B) {
	config := clusterConfigs(b, 3)[0]
	identity, err := voterstore.OpenIdentity(config.DataDir, config.Name, config.Node)
	if err != nil {
		b.Fatal(err)
	}
	startVoterOnFolder := func() (*Voter, *transport.Listener) {
		l, err := net.Listen("tcp", config.Address)
		if err != nil {
			b.Fatal(err)
		}
		listener := transport.NewListener(l, transport.ListenerConfig{Cluster: config.Name, MaxConnections: 256, MinIdle: time.Second, HelloTimeout: time.Second,
			VoterID: func() string { return identity.ID }})
		go listener.Serve()
		v, err := startVoter(config, identity, transport.NewStreamLayer(listener, transport.Dialer{Cluster: config.Name, Node: config.Node}, raft.ServerAddress(config.Address)), zap.NewNop())
		if err != nil {
			b.Fatal(err)
		}
		return v, listener
	}
	v, listener := startVoterOnFolder()
	singleVoter := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(identity.ID), Address: transport.RaftAddress(identity.ID, config.Address)}}}
	if err := v.raft.BootstrapCluster(singleVoter).Error(); err != nil {
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
		v, listener = startVoterOnFolder()
		for !func() bool { v.mu.Lock(); defer v.mu.Unlock(); return v.leases.IsLeader() }() {
			time.Sleep(time.Millisecond)
		}
	}
	info, _ := os.Stat(filepath.Join(config.DataDir, voterstore.LogFile))
	b.ReportMetric(float64(info.Size())/(1<<20), "MB")
	v.shutDown(nil)
	listener.Close()
}
