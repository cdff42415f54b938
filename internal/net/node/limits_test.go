package node

import (
	"testing"
	"testing/quick"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Whatever the configuration and the system allow, the parts are no more than the lower of the two, the reserve holds what
// it is for, and each side can work.
func TestSplitStaysWithinLowerDescriptorLimit(t *testing.T) {
	for name, c := range map[string]struct{ configured, systemLimit, open, processes, descriptors int }{
		"the configuration's":       {1024, 0, 8, 1, 1024},
		"the system's is higher":    {1024, 20000, 8, 1, 1024},
		"the system's is lower":     {1024, 64, 8, 1, 64},
		"the same":                  {64, 64, 8, 1, 64},
		"an upgrade, by halves":     {128, 128, 8, 2, 64},
		"the smallest, by halves":   {64, 0, 8, 2, 32},
		"the system's, by halves":   {1024, 256, 8, 2, 256}, // each process has that
		"much was inherited":        {128, 0, 40, 1, 128},
		"lower than one would name": {64, 32, 8, 1, 32},
	} {
		for _, admin := range []string{"", "127.0.0.1:1"} {
			s := &config.Node{Cores: 1, MemoryMB: 192, Descriptors: c.configured, Admin: admin, Settings: &config.Settings{}}
			p := process{maxDescriptors: c.systemLimit, openDescriptors: c.open}
			l := p.split(s, c.processes)
			assigned := l.clientConns + l.overflowConns + l.serverConns
			if admin != "" {
				if assigned += l.adminConns + 1; l.adminConns < minAdminConns-1 {
					t.Errorf("%s: %+v, too few for operators", name, l)
				}
			}
			if unassigned := c.descriptors - assigned; unassigned < min(c.open, maxInheritedDescriptors)+internalReserve || l.clientConns < minClientConns || l.serverConns < minServerConns {
				t.Errorf("%s, operators' address %q: %+v leaves %d of %d", name, admin, l, unassigned, c.descriptors)
			}
		}
	}
	if err := quick.Check(func(configured, systemLimit uint16, open, processes uint8) bool {
		s := &config.Node{Cores: 1, MemoryMB: 192, Descriptors: 64 + int(configured), Admin: "127.0.0.1:1", Settings: &config.Settings{}}
		p, n := process{maxDescriptors: 64 + int(systemLimit), openDescriptors: 3 + int(open)%30}, 1+int(processes)%2
		l := p.split(s, n)
		available := min(s.Descriptors/n, p.maxDescriptors)
		required := p.openDescriptors + internalReserve + minAdminConns + minClientConns + minServerConns
		unassigned := available - l.clientConns - l.overflowConns - l.serverConns - l.adminConns - 1
		return unassigned >= p.openDescriptors+internalReserve || available < required
	}, &quick.Config{MaxCount: 2000}); err != nil {
		t.Error(err)
	}
}

// What a process was started with is seen before it opens anything.
func TestInspectProcessReadsDescriptorLimit(t *testing.T) {
	p := inspectProcess()
	if p.maxDescriptors < 16 || p.openDescriptors < 3 || p.openDescriptors >= p.maxDescriptors {
		t.Errorf("%+v", p)
	}
}

// A fleet's connections and files have a part of their own, by its voters and nodes, and never over half of what is left.
func TestSplitReservesClusterDescriptors(t *testing.T) {
	voters := make([]config.Voter, 3)
	for name, c := range map[string]struct {
		configured, processes, nodes int // nodes: as the settings say; 0: they don't
		minPeers                     int // connections from fellows
	}{
		"as usual":         {1024, 1, 300, 300},
		"few nodes":        {1024, 1, 5, minNodeConns},
		"the nodes untold": {1024, 1, 0, minNodeConns},
		"few descriptors":  {256, 1, 300, 64},
		"by halves":        {512, 2, 300, 64},
		"very few":         {128, 1, 300, 12},
	} {
		s := &config.Node{Cores: 1, MemoryMB: 192, Descriptors: c.configured, Admin: "127.0.0.1:1", Settings: &config.Settings{Routing: routing.Config{Nodes: c.nodes}},
			Cluster: &config.Cluster{Voters: voters}}
		l := process{openDescriptors: 10}.split(s, c.processes)
		otherClusterDescriptors := clusterReserve + connsPerVoter*len(voters)/2
		unassigned := c.configured/c.processes - l.clientConns - l.overflowConns - l.serverConns - l.adminConns - 1 - l.peerConns - otherClusterDescriptors
		if l.peerConns < c.minPeers || unassigned < 10+internalReserve || l.clientConns < 10 || l.serverConns < 10 {
			t.Errorf("%s: %+v leaves %d", name, l, unassigned)
		}
		s.Cluster = nil
		if unclustered := (process{openDescriptors: 10}).split(s, c.processes); unclustered.peerConns != 0 || unclustered.clientConns <= l.clientConns {
			t.Errorf("%s, without a fleet: %+v", name, unclustered)
		}
	}
}

// A voter of a fleet of any size holds a connection of each node and some more, where it may have twice that and what is set apart.
func TestVoterHasPeerConnForEachNode(t *testing.T) {
	for nodes := 1; nodes <= 4096; nodes++ {
		s := &config.Node{Cores: 1, MemoryMB: 256, Descriptors: 2*(nodes+36) + 64, Settings: &config.Settings{Routing: routing.Config{Nodes: nodes}},
			Cluster: &config.Cluster{Voters: make([]config.Voter, 3)}}
		if l := (process{maxDescriptors: 20_000, openDescriptors: 10}).split(s, 1); l.peerConns < nodes+12 {
			t.Fatalf("%d nodes: %+v", nodes, l)
		}
	}
}
