package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"net/rpc/jsonrpc"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/internal/cluster/transport"
	"github.com/thistlerudder/thistlerudder/internal/cluster/voterstore"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

type figures map[string]int64

func (f figures) Metrics() map[string]int64                     { return f }
func (figures) EjectedEndpoints() map[string]string             { return nil }
func (figures) ProbeResult(string, string, bool, time.Duration) {}
func (figures) SetQuota(routing.Limit, string, allowance.Quota, time.Duration, time.Duration) (u allowance.Usage) {
	return u
}

// fleetOf gives the papers of three voters and more nodes.
func fleetOf(t testing.TB, nodes int) (all []*config.Cluster) {
	t.Helper()
	var voters []config.Voter
	for i := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		f := &config.Cluster{Name: "f", Node: fmt.Sprint("n", i), Address: l.Addr().String(), Lease: 2 * time.Second,
			MaxDrift: 0.01, MaxDelay: 40 * time.Millisecond, RollUp: time.Second}
		_ = l.Close()
		if i < 3 {
			f.Folder = filepath.Join(t.TempDir(), "v")
			voters = append(voters, config.Voter{Name: f.Node, Address: f.Address})
		}
		all = append(all, f)
	}
	for _, f := range all {
		f.Voters = voters
	}
	return all
}

// founded starts them, and founds the fleet.
func founded(t testing.TB, all []*config.Cluster) (nodes []*Member) {
	t.Helper()
	for _, f := range all {
		n := Start(f, figures{"resolved": 1}, time.Second, 256, zap.NewNop())
		nodes = append(nodes, n)
		t.Cleanup(sync.OnceFunc(n.Close))
	}
	c := NewClient(all[0], zap.NewNop())
	t.Cleanup(c.Close)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if err := c.FoundCluster(0); err == nil {
			return nodes
		} else if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

func eventually(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// Claimants on all nodes count under one lease: never two at once, each with a token of its own.
func TestOneHoldsAtATime(t *testing.T) {
	nodes := founded(t, fleetOf(t, 5))
	var in, done atomic.Int32
	var mu sync.Mutex
	tokens := map[uint64]bool{}
	ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
	defer stop()
	var all sync.WaitGroup
	for _, n := range nodes {
		all.Go(func() {
			n.client.Hold(ctx, "count", func(_ context.Context, g *HeldLease) bool {
				if in.Add(1) != 1 {
					t.Error("two at once")
				}
				mu.Lock()
				if tokens[g.Token()] {
					t.Errorf("token %d twice", g.Token())
				}
				tokens[g.Token()] = true
				mu.Unlock()
				err := g.Do("count", g.Token(), nil)
				if again := g.Do("count", g.Token(), nil); err == nil && again == nil {
					t.Errorf("token %d acts twice with one number", g.Token())
				}
				in.Add(-1)
				return done.Add(1) < 40
			})
			stop()
		})
	}
	all.Wait()
	if done.Load() < 40 {
		t.Errorf("held %d times", done.Load())
	}
}

// A folder that is of another, or damaged, is named with what was expected, and nothing in it changes.
func TestFoldersThatCantBeUsed(t *testing.T) {
	for want, spoil := range map[string]func(folder string) error{
		`is of node "x" in fleet "f", not of node "n0" in fleet "f"`: func(folder string) error {
			_, err := voterstore.OpenIdentity(folder, "f", "x")
			return err
		},
		`is of node "n0" in fleet "g", not of node "n0" in fleet "f"`: func(folder string) error {
			_, err := voterstore.OpenIdentity(folder, "g", "n0")
			return err
		},
		"voter.json is missing beside log.db": func(folder string) error {
			return errors.Join(os.MkdirAll(folder, 0o700), os.WriteFile(filepath.Join(folder, voterstore.LogFile), []byte("x"), 0o600))
		},
		"expected fleet, node and id": func(folder string) error {
			return errors.Join(os.MkdirAll(folder, 0o700), os.WriteFile(filepath.Join(folder, voterstore.IdentityFile), []byte("{}"), 0o600))
		},
		"log.db is damaged": func(folder string) error {
			_, err := voterstore.OpenIdentity(folder, "f", "n0")
			return errors.Join(err, os.WriteFile(filepath.Join(folder, voterstore.LogFile), make([]byte, 5000), 0o600))
		},
		"expected a folder that can be written": func(folder string) error {
			return os.WriteFile(folder, nil, 0o600)
		},
	} {
		f := fleetOf(t, 3)[0]
		if err := spoil(f.Folder); err != nil {
			t.Fatal(err)
		}
		before, _ := os.ReadFile(filepath.Join(f.Folder, voterstore.IdentityFile))
		n := Start(f, figures{}, time.Second, 256, zap.NewNop())
		eventually(t, want, func() bool { return strings.Contains(n.status().VoterError, want) || n.voterID() != "" })
		s := n.status()
		n.Close()
		if after, _ := os.ReadFile(filepath.Join(f.Folder, voterstore.IdentityFile)); s.Voter || string(after) != string(before) {
			t.Errorf("%s: %+v, and the paper was %q, is %q", want, s, before, after)
		}
	}
}

// A log that was cut at any of many places is either read whole or refused; the process lives either way.
func TestALogCutShort(t *testing.T) {
	nodes := founded(t, fleetOf(t, 3))
	eventually(t, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	path := filepath.Join(nodes[0].config.Folder, voterstore.LogFile)
	for _, n := range nodes {
		n.Close()
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	for cut := 0; cut < len(whole); cut += 997 {
		short := filepath.Join(t.TempDir(), "log")
		if err := os.WriteFile(short, whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		if voterstore.CheckLog(short) != nil {
			refused++
		}
	}
	if err := voterstore.CheckLog(path); err != nil || refused < 10 {
		t.Errorf("the whole log: %v; %d cut ones refused", err, refused)
	}
}

// First contact: who is of another fleet, or means a voter that was, is turned away with the reason.
func TestWhoIsTurnedAway(t *testing.T) {
	all := fleetOf(t, 3)
	founded(t, all)
	for want, d := range map[string]struct{ fleet, purpose, to string }{
		`fleet.name: this is "f", not "g"`:        {"g", transport.PurposeRPC, ""},
		"whose folder is gone":                    {"f", transport.PurposeRaft, "n0.00000000"},
		"expected a connection for votes or asks": {"f", "tea", ""},
	} {
		_, err := transport.Dialer{Cluster: d.fleet, Node: "x"}.Dial(all[0].Address, d.purpose, d.to, time.Second)
		if !errors.Is(err, transport.ErrRefused) || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: want %s", err, want)
		}
	}
	c := NewClient(all[0], zap.NewNop())
	if err := c.FoundCluster(0); !errors.Is(err, lease.ErrAlreadyFounded) {
		t.Errorf("founded again: %v", err)
	}
	for want, x := range map[string]MembershipChange{"is no voter": {Remove: "n9"}, "is a voter already": {Add: "n1", Address: all[1].Address}} {
		if _, err := c.Change(x); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want %s", x, err, want)
		}
	}
}

// Two nodes under one name: the second takes no part until the first has gone.
func TestTwoNodesOfOneName(t *testing.T) {
	all := fleetOf(t, 5)
	all[4].Node = all[3].Node
	nodes := founded(t, all)
	holder := func() (h lease.Holder) {
		s, _ := nodes[0].client.Status()
		for _, l := range s.Leases {
			if l.Name == nodeLease(all[3].Node) {
				h = l.Holder
			}
		}
		return h
	}
	eventually(t, "nobody has the name", func() bool { return holder().Name != "" })
	was := holder()
	time.Sleep(2 * all[0].Lease)
	if holder() != was {
		t.Error("both had it in turn")
	}
	nodes[3].Close()
	nodes[4].Close()
	eventually(t, "it is not given back", func() bool { return holder().Name == "" })
}

// A voter whose files can't grow ends as a voter; its node goes on, and the others agree without it.
func TestAFolderThatIsFull(t *testing.T) {
	nodes := founded(t, fleetOf(t, 3))
	eventually(t, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	nodes[0].voter().once.fail(syscall.EFBIG)
	eventually(t, "it votes on", func() bool { return strings.Contains(nodes[0].status().VoterError, "file too large") })
	eventually(t, "the others don't agree", func() bool {
		s, err := nodes[1].client.Status()
		return err == nil && s.IsLeader && s.Node != nodes[0].config.Node
	})
}

// sufferer is a node at which one server rests until it hears that it is well.
type sufferer struct {
	figures
	address string
	bad     atomic.Int32
	well    atomic.Bool
}

func (s *sufferer) EjectedEndpoints() map[string]string { return map[string]string{"c": s.address} }
func (s *sufferer) ProbeResult(id, address string, well bool, next time.Duration) {
	if id == "c" && address == s.address && next > 0 {
		if well {
			s.well.Store(true)
		} else {
			s.bad.Add(1)
		}
	}
}

// A server fails, and all nodes rest it: one of them tries it for all, the others hear of it, and of its return.
func TestOneProbesForAll(t *testing.T) {
	var hits atomic.Int32
	var up atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hits.Add(1); !up.Load() || r.URL.Path != "/up" {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer server.Close()
	all := fleetOf(t, 5)
	var own []*sufferer
	var nodes []*Member
	for _, f := range all {
		f.Tasks, f.ProbePath = []string{config.TaskProbe}, "/up"
		s := &sufferer{address: server.Listener.Addr().String()}
		own, nodes = append(own, s), append(nodes, Start(f, s, time.Second, 256, zap.NewNop()))
	}
	defer func() {
		for _, n := range nodes {
			n.Close()
		}
	}()
	c := NewClient(all[0], zap.NewNop())
	defer c.Close()
	eventually(t, "not founded", func() bool { return c.FoundCluster(0) == nil })
	heard := func(of func(s *sufferer) bool) func() bool {
		return func() bool { return !slices.ContainsFunc(own, func(s *sufferer) bool { return !of(s) }) }
	}
	eventually(t, "not all hear that it is bad", heard(func(s *sufferer) bool { return s.bad.Load() > 0 }))
	up.Store(true)
	tried := hits.Load()
	eventually(t, "not all hear that it is well", heard(func(s *sufferer) bool { return s.well.Load() }))
	if tried > 10 {
		t.Errorf("%d trials of one server", tried)
	}
}

// termed is a voter that tells a word of the test's own.
type termed struct{ word TermVote }

func (x *termed) Term(_ *struct{}, w *TermVote) error {
	*w = x.word
	return nil
}

// A round counts who is the voter that is meant and has voted in no later term; with the leader two of three are enough.
func TestARoundToAMajority(t *testing.T) {
	nodes := founded(t, fleetOf(t, 3))
	var v *Voter
	eventually(t, "no leader", func() bool {
		for _, n := range nodes {
			if x := n.voter(); x != nil && x.raft.State() == raft.Leader {
				v = x
			}
		}
		return v != nil && len(v.raft.GetConfiguration().Configuration().Servers) == 3
	})
	if !v.confirmLeadership() {
		t.Error("the leader is not confirmed")
	}
	for _, c := range []struct {
		what      string
		otherID   bool
		later     [2]uint64
		confirmed bool
	}{{"both follow", false, [2]uint64{0, 0}, true}, {"one has voted since", false, [2]uint64{1, 0}, true},
		{"both have voted since", false, [2]uint64{1, 1}, false}, {"both are other voters", true, [2]uint64{0, 0}, false}} {
		i := 0
		v.peers.mu.Lock()
		for _, s := range v.raft.GetConfiguration().Configuration().Servers {
			if string(s.ID) == v.identity.ID {
				continue
			}
			w := termed{TermVote{string(s.ID), v.raft.CurrentTerm() + c.later[i]}}
			if c.otherID {
				w.word.ID += "x"
			}
			i++
			here, there := net.Pipe()
			x := rpc.NewServer()
			if err := x.RegisterName("Fleet", &w); err != nil {
				t.Fatal(err)
			}
			go x.ServeCodec(jsonrpc.NewServerCodec(there))
			if before := v.peers.conns[s.ID]; before != nil {
				_ = before.Close()
			}
			v.peers.conns[s.ID] = jsonrpc.NewClient(here)
		}
		v.peers.mu.Unlock()
		if got := v.confirmLeadership(); got != c.confirmed {
			t.Errorf("%s: %v", c.what, got)
		}
	}
}

// BenchmarkRenewals has 300 holders at three voters in one process, each with a connection, and counts renewals.
func BenchmarkRenewals(b *testing.B) {
	all := fleetOf(b, 3)
	nodes := founded(b, all)
	eventually(b, "no leader", func() bool { s, err := nodes[0].client.Status(); return err == nil && len(s.Leases) == 3 })
	before, _ := nodes[0].client.Status()
	const holders = 300
	var asks [holders]lease.Request
	var clients [holders]*Client
	for i := range asks {
		clients[i] = NewClient(all[0], zap.NewNop())
		h := lease.Holder{Name: fmt.Sprint("h", i), Process: i}
		x, err := clients[i].send(lease.Request{Operation: lease.OpAcquire, Name: h.Name, Holder: h})
		if err != nil || x.Err != nil {
			b.Fatal(err, x.Err)
		}
		asks[i] = lease.Request{Operation: lease.OpRenew, Name: h.Name, Holder: h, Token: x.Token}
	}
	var used [2]syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used[0])
	var next atomic.Int64
	b.ResetTimer()
	began := time.Now()
	var all2 sync.WaitGroup
	for i := range asks {
		all2.Go(func() {
			for next.Add(1) <= int64(b.N) {
				if x, err := clients[i].send(asks[i]); err != nil || x.Err != nil {
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

// BenchmarkRecovery starts a voter on a folder with 16 MB in its log, until it leads by itself again.
func BenchmarkRecovery(b *testing.B) {
	f := fleetOf(b, 3)[0]
	p, err := voterstore.OpenIdentity(f.Folder, f.Name, f.Node)
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
	i, _ := os.Stat(filepath.Join(f.Folder, voterstore.LogFile))
	b.ReportMetric(float64(i.Size())/(1<<20), "MB")
	v.shutDown(nil)
	listener.Close()
}

// A leader's disk stands still for longer than it may take for an entry to be taken up, and the leader goes on leading: what
// was asked meanwhile is granted once it writes again, and not only under the next leader.
func TestALeaderTooBusyForAnEntry(t *testing.T) {
	nodes := founded(t, fleetOf(t, 4))
	var leader *Voter
	eventually(t, "nobody leads", func() bool {
		for _, n := range nodes[:3] {
			v := n.voter()
			v.mu.Lock()
			leads := v.leases.IsLeader()
			v.mu.Unlock()
			if leads {
				leader = v
			}
		}
		return leader != nil
	})
	for _, n := range nodes { // their own names
		eventually(t, "a node has not its name", func() bool {
			leader.mu.Lock()
			defer leader.mu.Unlock()
			_, has := leader.state.Leases[nodeLease(n.config.Node)]
			return has
		})
	}
	reign := func() uint64 {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return leader.state.Term
	}
	was := reign()
	db := *(**bbolt.DB)(reflect.ValueOf(leader.store.BoltStore).Elem().FieldByName("conn").Addr().UnsafePointer())
	tx, err := db.Begin(true) // the library's writes wait for it
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var had atomic.Int32
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			nodes[3].client.Hold(ctx, fmt.Sprint("busy", i), func(ctx context.Context, _ *HeldLease) bool {
				had.Add(1)
				<-ctx.Done()
				return false
			})
		})
	}
	time.Sleep(nodes[0].config.Lease * 3 / 5)
	if err := tx.Rollback(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "what was asked of a busy leader is never granted", func() bool { return had.Load() >= 8 })
	if now := reign(); now != was {
		t.Logf("reign %d came after %d: this run shows nothing", now, was)
	}
	stop()
	all.Wait()
}
