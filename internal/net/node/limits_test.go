package node

import (
	"testing"
	"testing/quick"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Whatever the configuration and the system allow, the parts are no more than the lower of the two, the reserve holds what
// it is for, and each side can work.
func TestThePartsStayWithinTheLowerLimit(t *testing.T) {
	for name, c := range map[string]struct{ sockets, most, open, processes, descriptors int }{
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
			s := &config.Node{Cores: 1, MemoryMB: 192, Descriptors: c.sockets, Admin: admin, Settings: &config.Settings{}}
			p := process{maxDescriptors: c.most, openDescriptors: c.open}
			l := p.split(s, c.processes)
			taken := l.clientConns + l.overflowConns + l.serverConns
			if admin != "" {
				if taken += l.adminConns + 1; l.adminConns < minAdminConns-1 {
					t.Errorf("%s: %+v, too few for operators", name, l)
				}
			}
			if left := c.descriptors - taken; left < min(c.open, maxInheritedDescriptors)+internalReserve || l.clientConns < minClientConns || l.serverConns < minServerConns {
				t.Errorf("%s, operators' address %q: %+v leaves %d of %d", name, admin, l, left, c.descriptors)
			}
		}
	}
	if err := quick.Check(func(sockets, most uint16, open, processes uint8) bool {
		s := &config.Node{Cores: 1, MemoryMB: 192, Descriptors: 64 + int(sockets), Admin: "127.0.0.1:1", Settings: &config.Settings{}}
		p, n := process{maxDescriptors: 64 + int(most), openDescriptors: 3 + int(open)%30}, 1+int(processes)%2
		l := p.split(s, n)
		whole := min(s.Descriptors/n, p.maxDescriptors)
		least := p.openDescriptors + internalReserve + minAdminConns + minClientConns + minServerConns
		left := whole - l.clientConns - l.overflowConns - l.serverConns - l.adminConns - 1
		return left >= p.openDescriptors+internalReserve || whole < least
	}, &quick.Config{MaxCount: 2000}); err != nil {
		t.Error(err)
	}
}

// What a process was started with is seen before it opens anything.
func TestAProcessSeesItsLimit(t *testing.T) {
	p := inspectProcess()
	if p.maxDescriptors < 16 || p.openDescriptors < 3 || p.openDescriptors >= p.maxDescriptors {
		t.Errorf("%+v", p)
	}
}

// A fleet's connections and files have a part of their own, by its voters and nodes, and never over half of what is left.
func TestAFleetHasItsPart(t *testing.T) {
	voters := make([]config.Voter, 3)
	for name, c := range map[string]struct {
		sockets, processes, nodes int // nodes: as the settings say; 0: they don't
		least                     int // connections from fellows
	}{
		"as usual":         {1024, 1, 300, 300},
		"few nodes":        {1024, 1, 5, minNodeConns},
		"the nodes untold": {1024, 1, 0, minNodeConns},
		"few descriptors":  {256, 1, 300, 64},
		"by halves":        {512, 2, 300, 64},
		"very few":         {128, 1, 300, 12},
	} {
		s := &config.Node{Cores: 1, MemoryMB: 192, Descriptors: c.sockets, Admin: "127.0.0.1:1", Settings: &config.Settings{Routing: routing.Config{Nodes: c.nodes}},
			Cluster: &config.Cluster{Voters: voters}}
		l := process{openDescriptors: 10}.split(s, c.processes)
		toFellows := clusterReserve + connsPerVoter*len(voters)/2
		left := c.sockets/c.processes - l.clientConns - l.overflowConns - l.serverConns - l.adminConns - 1 - l.peerConns - toFellows
		if l.peerConns < c.least || left < 10+internalReserve || l.clientConns < 10 || l.serverConns < 10 {
			t.Errorf("%s: %+v leaves %d", name, l, left)
		}
		s.Cluster = nil
		if without := (process{openDescriptors: 10}).split(s, c.processes); without.peerConns != 0 || without.clientConns <= l.clientConns {
			t.Errorf("%s, without a fleet: %+v", name, without)
		}
	}
}

// A voter of a fleet of any size holds a connection of each node and some more, where it may have twice that and what is set apart.
func TestAVotersPartHoldsAllNodes(t *testing.T) {
	for nodes := 1; nodes <= 4096; nodes++ {
		s := &config.Node{Cores: 1, MemoryMB: 256, Descriptors: 2*(nodes+36) + 64, Settings: &config.Settings{Routing: routing.Config{Nodes: nodes}},
			Cluster: &config.Cluster{Voters: make([]config.Voter, 3)}}
		if l := (process{maxDescriptors: 20_000, openDescriptors: 10}).split(s, 1); l.peerConns < nodes+12 {
			t.Fatalf("%d nodes: %+v", nodes, l)
		}
	}
}
