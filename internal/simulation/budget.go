package simulation

import (
	"encoding/csv"
	"fmt"
	"math"
	"slices"
	"strconv"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/budget/quotalimit"
	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Budget configures a limit of the attempts that all nodes together send to the origin. It is divided among the nodes by the
// same code as in real nodes: budget.Allocator, budget.QuotaClient and lease.State. Consensus is simulated by a log that
// applies an entry after a fixed delay, with at most one leader at a time.
type Budget struct {
	Kind          string   `toml:"kind"`  // rate (attempts per second) or number (attempts in flight)
	Limit         float64  `toml:"whole"` // attempts per second, or in flight
	Burst         int      `toml:"burst"` // burst of a rate limit, in attempts
	ReservedShare float64  `toml:"apart"` // share of the units that is reserved in equal parts for nodes that can't reach the leader
	LeaseDuration Duration `toml:"lease"` // of a node's lease; 0: 3 s
	ClockDrift    float64  `toml:"drift"` // largest relative difference of the rates of two clocks
	LogDelay      Duration `toml:"log"`   // from the proposal of a log entry until it is applied; 0: 5 ms
	// Allocation is "divided" (or empty) if quotas follow demand, or "even" if each node has a fixed equal part.
	Allocation string `toml:"way"`
}

func (b *Budget) check(require func(ok bool, key, expected string, got any)) {
	require(b.Kind == lease.BudgetKindRate || b.Kind == lease.BudgetKindConcurrency, "fleet.budget.kind", "rate or number", b.Kind)
	require(b.Limit > 0, "fleet.budget.whole", "a number above 0", b.Limit)
	require(b.Kind != lease.BudgetKindRate || b.Burst >= 1, "fleet.budget.burst", "1 or more", b.Burst)
	require(b.ReservedShare >= 0 && b.ReservedShare <= 1, "fleet.budget.apart", "a share from 0 to 1", b.ReservedShare)
	require(b.ClockDrift >= 0 && b.ClockDrift <= 0.2, "fleet.budget.drift", "a share from 0 to 0.2", b.ClockDrift)
	require(b.Allocation == "" || b.Allocation == "divided" || b.Allocation == "even", "fleet.budget.way", "divided or even", b.Allocation)
	if b.LeaseDuration.Duration == 0 {
		b.LeaseDuration.Duration = 3e9
	}
	if b.LogDelay.Duration == 0 {
		b.LogDelay.Duration = 5e6
	}
}

// config returns the budget for a number of nodes as the lease package has it.
func (b *Budget) config(nodes int) lease.BudgetConfig {
	config := lease.BudgetConfig{Kind: b.Kind, Resource: "origin", Units: int(b.Limit), RatePerUnit: 1, MaxNodes: nodes}
	if b.Kind == lease.BudgetKindRate {
		config.Units, config.RatePerUnit = b.Burst, b.Limit/float64(b.Burst)
	}
	config.ReservedPerNode = int(b.ReservedShare*float64(config.Units)/float64(nodes) + 1e-9)
	return config
}

// BudgetUsage describes how a budget was used, and what two other limiters would have allowed for the same demand: exact, a
// single limiter that sees all requests, and even, one limiter per node with an equal part of the budget. These two are
// simulated for rate limits only.
type BudgetUsage struct {
	// DemandPerTenth and StartedPerTenth count the writes that nodes received and the attempts that reached the origin, per
	// 0.1 s.
	DemandPerTenth, StartedPerTenth []int
	// ExactPerTenth and EvenPerTenth count the writes that the exact and the even limiters allow, per 0.1 s.
	ExactPerTenth, EvenPerTenth []int
	// ShiftSeconds holds for a move event the seconds until the hot nodes hold 90% of the units that they hold after
	// settleTime.
	ShiftSeconds []float64
	// RecoverySeconds holds for a kill event the seconds until the live nodes hold 90% of the units that were allocated
	// before.
	RecoverySeconds []float64
	// LogEntries and Messages count the applied log entries and the messages between nodes and leader.
	LogEntries, Messages int
	// PeakShare is the peak use relative to the budget: for a rate limit the largest excess over the rate relative to the
	// burst, for a concurrency limit the largest number of attempts in flight relative to the limit.
	PeakShare float64

	requestedByNode, startedByNode []int // like DemandPerTenth and StartedPerTenth, by node index
}

// budgetNode is one node's side of the budget: its lease and its quota client. It implements budget.ClientHost.
type budgetNode struct {
	sim               *budgetSim
	index             int
	client            *budget.QuotaClient
	leaseToken        uint64
	leaseEnd          lease.Time
	incarnation       int           // changes when the process is killed or loses its lease; calls that were scheduled before are ignored
	isDown            bool          // the process has ended and has not been restarted
	disconnectedUntil routing.Time  // the node can't reach the leader before this time
	lastSendID        uint64        // of the latest request; responses to earlier ones are ignored
	limit             routing.Limit // the limit of the balancer that the quota sets
}

// budgetSim simulates a budget: the replicated state, the leader with its allocator, and the nodes' sides. It implements
// budget.Host.
type budgetSim struct {
	*testbed
	config           lease.BudgetConfig
	state            *lease.State
	allocator        *budget.Allocator
	leaseEnds        map[string]lease.Time // by lease name; kept by the leader
	leaderlessUntil  routing.Time          // no leader is elected before this time
	leaderElected    bool
	leaderChanges    int // counts elections and losses, so that proposals of an earlier leader are dropped
	budgetNodes      []*budgetNode
	alarmAt          routing.Time // of the allocator; calls that were scheduled for an earlier alarm are ignored
	usage            BudgetUsage
	pendingResponses map[uint64]func(budget.Response) // by request ID, of requests that the leader has not answered
	lastRequestID    uint64

	exactTokens     float64 // token bucket of the exact limiter
	exactUpdatedAt  routing.Time
	evenTokens      []float64 // token buckets of the even limiters, by node index
	evenUpdatedAt   []routing.Time
	bucketLevel     float64 // leaky bucket of the attempts at the origin: the excess over the rate
	bucketUpdatedAt routing.Time
	inFlight        int   // attempts at the origin
	shiftedNodes    []int // indexes of the nodes that became hot at shiftedAt; nil after settleTime
	shiftedAt       routing.Time
	recoveryUnits   int // units that the live nodes must hold to end the recovery from a kill; 0: no recovery
	nodesKilledAt   routing.Time
	shiftedUnits    []int   // samples of the units that shiftedNodes hold
	evenUnits       float64 // burst of each even limiter
}

const (
	budgetName     = "origin"
	sampleInterval = 20 * routing.Millisecond // between samples of the allocation, and between checks for expired leases
	settleTime     = 5 * second               // after a move event, until the allocation counts as final
)

// leaseName returns the name of a node's lease.
func leaseName(node int) string { return fmt.Sprint("node/", node) }

// startBudget starts the simulation of the budget with a leader, and each node's side.
func (tb *testbed) startBudget() {
	budgetConfig := tb.experiment.Fleet.Budget
	s := &budgetSim{testbed: tb, config: budgetConfig.config(tb.experiment.Fleet.Nodes), state: lease.NewState(),
		leaseEnds: map[string]lease.Time{}, pendingResponses: map[uint64]func(budget.Response){},
		evenTokens: make([]float64, tb.experiment.Fleet.Nodes), evenUpdatedAt: make([]routing.Time, tb.experiment.Fleet.Nodes)}
	tb.budgetSim = s
	tenths := int(tb.experiment.Length.Seconds()*10) + 1
	s.usage = BudgetUsage{DemandPerTenth: make([]int, tenths), StartedPerTenth: make([]int, tenths),
		ExactPerTenth: make([]int, tenths), EvenPerTenth: make([]int, tenths),
		requestedByNode: make([]int, tb.experiment.Fleet.Nodes), startedByNode: make([]int, tb.experiment.Fleet.Nodes)}
	s.exactTokens, s.evenUnits = float64(s.config.Units), max(1, float64(s.config.Units)/float64(tb.experiment.Fleet.Nodes))
	for i := range s.evenTokens {
		s.evenTokens[i] = s.evenUnits
	}
	s.apply(lease.Entry{Version: 1, Kind: lease.KindFoundCluster, Name: "f"})
	s.allocator = budget.NewAllocator(s, s.state, budget.Unsafe{})
	s.electLeader()
	for i := range tb.nodes {
		n := &budgetNode{sim: s, index: i, limit: routing.OriginRate}
		if budgetConfig.Kind == lease.BudgetKindConcurrency {
			n.limit = routing.OriginConcurrency
		}
		s.budgetNodes = append(s.budgetNodes, n)
		n.start()
	}
	s.expireLeases()
}

func (s *budgetSim) now() lease.Time { return lease.Time(s.clock.now) }

// hasLeader reports whether there is a leader now.
func (s *budgetSim) hasLeader() bool { return s.leaderElected && s.clock.now >= s.leaderlessUntil }

// electLeader starts a new term. The new leader doesn't know when the leases were renewed, so it extends all of them.
func (s *budgetSim) electLeader() {
	s.leaderChanges++
	result := s.apply(lease.Entry{Version: 1, Kind: lease.KindNewTerm, Name: "l"})
	s.leaderElected = true
	for name := range s.leaseEnds {
		s.leaseEnds[name] = s.now() + s.granterDuration()
	}
	s.allocator.Promote(s.now(), result.Term)
}

// loseLeader stops the leader, if there is one, and delays the next election.
func (s *budgetSim) loseLeader(duration routing.Time) {
	s.leaderlessUntil = max(s.leaderlessUntil, s.clock.now+duration)
	if s.leaderElected {
		s.leaderElected = false
		s.leaderChanges++
		s.allocator.Demote()
		clear(s.pendingResponses)
		var waitForElection func()
		waitForElection = func() {
			if s.clock.now < s.leaderlessUntil {
				s.clock.schedule(s.leaderlessUntil-s.clock.now, waitForElection)
				return
			}
			s.electLeader()
		}
		s.clock.schedule(duration, waitForElection)
	}
}

func (s *budgetSim) apply(entry lease.Entry) lease.Result {
	s.usage.LogEntries++
	return s.state.Apply(entry)
}

// granterDuration returns how long the leader keeps a lease after a renewal.
func (s *budgetSim) granterDuration() lease.Time {
	b := s.experiment.Fleet.Budget
	return lease.GranterDuration(lease.Time(b.LeaseDuration.ticks()), b.ClockDrift)
}

// expireLeases revokes the leases that have expired, at intervals.
func (s *budgetSim) expireLeases() {
	if s.hasLeader() {
		for i := range s.budgetNodes {
			if current, isHeld := s.state.Leases[leaseName(i)]; isHeld && s.now() >= s.leaseEnds[leaseName(i)] {
				s.apply(lease.Entry{Version: 1, Kind: lease.KindRevoke, Name: leaseName(i), Token: current.Token})
				s.allocator.StateChanged(s.now())
			}
		}
	}
	s.sampleAllocation()
	s.clock.schedule(sampleInterval, s.expireLeases)
}

// sampleAllocation samples the units of hot nodes after a move event, and detects the end of the recovery from a kill event.
func (s *budgetSim) sampleAllocation() {
	budgetState := s.state.Budgets[budgetName]
	if budgetState == nil {
		return
	}
	if len(s.shiftedNodes) > 0 {
		units := 0
		for _, node := range s.shiftedNodes {
			units += budgetState.Quotas[leaseName(node)].Units
		}
		if s.shiftedUnits = append(s.shiftedUnits, units); s.clock.now >= s.shiftedAt+settleTime {
			for i, sample := range s.shiftedUnits { // the first sample with 90% of the final units
				if sample*10 >= 9*units {
					s.usage.ShiftSeconds = append(s.usage.ShiftSeconds, float64(i)*float64(sampleInterval)/float64(second))
					break
				}
			}
			s.shiftedNodes = nil
		}
	}
	liveUnits := 0
	for node := range s.budgetNodes {
		if !s.deadNodes[node] {
			liveUnits += budgetState.Quotas[leaseName(node)].Units
		}
	}
	if s.recoveryUnits > 0 && liveUnits >= s.recoveryUnits {
		s.usage.RecoverySeconds = append(s.usage.RecoverySeconds, float64(s.clock.now-s.nodesKilledAt)/float64(second))
		s.recoveryUnits = 0
	}
}

// Propose implements budget.Host.
func (s *budgetSim) Propose(ref uint64, entry lease.Entry) {
	leaderChanges := s.leaderChanges
	s.clock.schedule(s.experiment.Fleet.Budget.LogDelay.ticks(), func() {
		if leaderChanges == s.leaderChanges {
			s.apply(entry)
			s.allocator.HandleProposalResult(s.now(), ref, false)
		}
	})
}

// Respond implements budget.Host.
func (s *budgetSim) Respond(id uint64, response budget.Response) {
	if respond := s.pendingResponses[id]; respond != nil {
		delete(s.pendingResponses, id)
		respond(response)
	}
}

// SetAlarm implements budget.Host.
func (s *budgetSim) SetAlarm(alarmTime lease.Time) {
	s.alarmAt = routing.Time(alarmTime)
	s.clock.schedule(s.alarmAt-s.clock.now, func() {
		if s.hasLeader() && s.clock.now >= s.alarmAt {
			s.allocator.Alarm(s.now())
		}
	})
}

// start starts a node's process. It applies the reserved units, and tries to acquire the node's lease until it succeeds.
func (n *budgetNode) start() {
	incarnation, s := n.incarnation, n.sim
	n.applyQuota(s.config, s.config.ReservedPerNode, s.config.ReservedPerNode, 0)
	var claim func()
	claim = func() {
		if incarnation != n.incarnation || n.isDown {
			return
		}
		if _, isHeld := s.state.Leases[leaseName(n.index)]; isHeld || !n.canReachLeader() {
			s.clock.schedule(50*routing.Millisecond, claim)
			return
		}
		sentAt := s.now()
		s.clock.schedule(2*s.oneWayDelay()+s.experiment.Fleet.Budget.LogDelay.ticks(), func() {
			if incarnation != n.incarnation || !n.canReachLeader() {
				s.clock.schedule(50*routing.Millisecond, claim)
				return
			}
			result := s.apply(lease.Entry{Version: 1, Kind: lease.KindGrant, Name: leaseName(n.index),
				Holder: lease.Holder{Name: fmt.Sprint(n.index), Process: n.incarnation}})
			if result.Err != nil {
				s.clock.schedule(50*routing.Millisecond, claim)
				return
			}
			s.leaseEnds[leaseName(n.index)] = s.now() + s.granterDuration()
			n.leaseToken, n.leaseEnd = result.Token, sentAt+n.holderDuration()
			n.client = budget.NewQuotaClient(n, s.now(), leaseName(n.index), n.leaseToken, 1,
				map[string]lease.BudgetConfig{budgetName: s.config}, n.leaseEnd,
				min(lease.Time(s.experiment.Demand.TimeLimit.ticks()), lease.Time(s.experiment.Fleet.Budget.LeaseDuration.ticks()/3)))
			n.scheduleRenewal(incarnation)
		})
	}
	s.clock.schedule(routing.Time(float64(100*routing.Millisecond)*s.fleetRand.Float64()), claim)
}

// holderDuration returns how long the node relies on its lease after it has sent a renewal.
func (n *budgetNode) holderDuration() lease.Time {
	b := n.sim.experiment.Fleet.Budget
	return lease.HolderDuration(lease.Time(b.LeaseDuration.ticks()), b.ClockDrift)
}

func (s *budgetSim) oneWayDelay() routing.Time { return s.experiment.Network.OneWayDelay.ticks() }

// canReachLeader reports whether messages between the node and a leader arrive now.
func (n *budgetNode) canReachLeader() bool {
	return !n.isDown && n.sim.hasLeader() && n.sim.clock.now >= n.disconnectedUntil
}

// scheduleRenewal renews the lease after a third of its duration, and again after each further third. If the lease has been
// revoked, it starts the node's side anew.
func (n *budgetNode) scheduleRenewal(incarnation int) {
	s := n.sim
	s.clock.schedule(s.experiment.Fleet.Budget.LeaseDuration.ticks()/3, func() {
		if incarnation != n.incarnation || n.isDown {
			return
		}
		sentAt, token := s.now(), n.leaseToken
		if current := s.state.Leases[leaseName(n.index)]; current.Token != token && n.canReachLeader() { // the lease was revoked
			n.incarnation++
			n.client = nil
			n.start()
			return
		}
		if n.canReachLeader() {
			s.usage.Messages += 2
			s.leaseEnds[leaseName(n.index)] = s.now() + s.granterDuration()
			s.clock.schedule(2*s.oneWayDelay(), func() {
				if incarnation == n.incarnation && n.canReachLeader() {
					n.leaseEnd = sentAt + n.holderDuration()
					n.client.ExtendLease(n.leaseEnd)
				}
			})
		}
		n.scheduleRenewal(incarnation)
	})
}

// kill ends the node's process without releasing its lease.
func (n *budgetNode) kill() {
	n.incarnation++
	n.isDown, n.client = true, nil
}

// applyQuota sets the quota of the node's balancer, with reservedUnits from the end of remaining on. The rates are lowered by
// the clock drift, since the node's clock may be fast. Other policies have no limit.
func (n *budgetNode) applyQuota(config lease.BudgetConfig, units, reservedUnits int, remaining routing.Time) quotalimit.Usage {
	rateFactor := 1 - n.sim.experiment.Fleet.Budget.ClockDrift
	balancer, ok := n.sim.nodes[n.index].policy.(*routing.Balancer)
	if !ok {
		return quotalimit.Usage{}
	}
	if n.sim.experiment.Fleet.Budget.Allocation == "even" {
		units, reservedUnits = 0, 0
		return balancer.SetQuota(n.sim.clock.now, n.limit, 0, quotalimit.Quota{Concurrency: config.Kind == lease.BudgetKindConcurrency,
			Rate:  n.sim.config.RatePerUnit * float64(n.sim.config.Units) / float64(len(n.sim.nodes)),
			Burst: n.sim.evenUnits, End: math.MaxInt64})
	}
	quota := quotalimit.Quota{Concurrency: config.Kind == lease.BudgetKindConcurrency, Burst: float64(units), BurstAfterEnd: float64(reservedUnits),
		End: int64(n.sim.clock.now + remaining)}
	if !quota.Concurrency {
		quota.Rate, quota.RateAfterEnd = config.RatePerUnit*rateFactor*float64(units), config.RatePerUnit*rateFactor*float64(reservedUnits)
	}
	return balancer.SetQuota(n.sim.clock.now, n.limit, 0, quota)
}

// SetQuota implements budget.ClientHost.
func (n *budgetNode) SetQuota(_ string, config lease.BudgetConfig, units, reservedUnits int, end lease.Time) quotalimit.Usage {
	return n.applyQuota(config, units, reservedUnits, routing.Time(end)-n.sim.clock.now)
}

// Send implements budget.ClientHost. It sends a request to the leader.
func (n *budgetNode) Send(request budget.Request) {
	n.lastSendID++
	sendID, incarnation, s := n.lastSendID, n.incarnation, n.sim
	isCurrent := func() bool { return sendID == n.lastSendID && incarnation == n.incarnation && n.client != nil }
	s.usage.Messages++
	s.clock.schedule(s.oneWayDelay(), func() {
		if !n.canReachLeader() {
			s.clock.schedule(300*routing.Millisecond, func() {
				if isCurrent() {
					n.client.HandleTimeout(s.now())
				}
			})
			return
		}
		s.lastRequestID++
		requestID := s.lastRequestID
		s.pendingResponses[requestID] = func(response budget.Response) {
			s.usage.Messages++
			s.clock.schedule(s.oneWayDelay(), func() {
				if isCurrent() && n.canReachLeader() {
					n.client.HandleResponse(s.now(), response)
				}
			})
		}
		s.allocator.Handle(s.now(), requestID, request)
	})
	s.clock.schedule(routing.Time(request.MaxWait)+300*routing.Millisecond, func() { // the response is late or lost
		if isCurrent() {
			n.client.HandleTimeout(s.now())
		}
	})
}

// SetAlarm implements budget.ClientHost.
func (n *budgetNode) SetAlarm(alarmTime lease.Time) {
	incarnation := n.incarnation
	n.sim.clock.schedule(routing.Time(alarmTime)-n.sim.clock.now, func() {
		if incarnation == n.incarnation && n.client != nil && !n.isDown {
			n.client.Alarm(n.sim.now())
		}
	})
}

// recordDemand counts a write that a node receives, and whether the exact and the even limiters would allow it.
func (s *budgetSim) recordDemand(node int) {
	tenth, now := s.tenthIndex(), s.clock.now
	if tenth >= len(s.usage.DemandPerTenth) {
		return
	}
	s.usage.DemandPerTenth[tenth]++
	s.usage.requestedByNode[node]++
	if s.config.Kind != lease.BudgetKindRate {
		return
	}
	ratePerTick := s.config.Limit() / float64(second)
	s.exactTokens = min(float64(s.config.Units), s.exactTokens+ratePerTick*float64(now-s.exactUpdatedAt))
	if s.exactUpdatedAt = now; s.exactTokens >= 1 {
		s.exactTokens--
		s.usage.ExactPerTenth[tenth]++
	}
	s.evenTokens[node] = min(s.evenUnits, s.evenTokens[node]+ratePerTick/float64(len(s.evenTokens))*float64(now-s.evenUpdatedAt[node]))
	if s.evenUpdatedAt[node] = now; s.evenTokens[node] >= 1 {
		s.evenTokens[node]--
		s.usage.EvenPerTenth[tenth]++
	}
}

// tenthIndex returns the index of the current 0.1 s in the counters of BudgetUsage.
func (s *budgetSim) tenthIndex() int { return int((s.clock.now - startTime) / (second / 10)) }

// fetchStarted counts an attempt that reaches the origin and updates PeakShare.
func (s *budgetSim) fetchStarted(node int) {
	if tenth := s.tenthIndex(); tenth < len(s.usage.StartedPerTenth) {
		s.usage.StartedPerTenth[tenth]++
		s.usage.startedByNode[node]++
	}
	s.inFlight++
	if s.config.Kind == lease.BudgetKindRate {
		now := s.clock.now
		s.bucketLevel = max(1, s.bucketLevel+1-s.config.Limit()*float64(now-s.bucketUpdatedAt)/float64(second))
		s.bucketUpdatedAt = now
		s.usage.PeakShare = max(s.usage.PeakShare, s.bucketLevel/float64(s.config.Units))
	} else {
		s.usage.PeakShare = max(s.usage.PeakShare, float64(s.inFlight)/float64(s.config.Units))
	}
}

// fetchEnded counts the end of an attempt at the origin.
func (s *budgetSim) fetchEnded() { s.inFlight-- }

// Shares returns the mean use between two seconds relative to the limit, and what the exact and the even limiters allow.
func (u *BudgetUsage) Shares(limit float64, fromSecond, toSecond int) (usedShare, exactShare, evenShare float64) {
	share := func(counts []int) (total float64) {
		for i := fromSecond * 10; i < min(toSecond*10, len(counts)); i++ {
			total += float64(counts[i])
		}
		return total / limit / float64(toSecond-fromSecond)
	}
	return share(u.StartedPerTenth), share(u.ExactPerTenth), share(u.EvenPerTenth)
}

// JainFairness returns Jain's fairness index of the nodes' attempts at the origin, each relative to the node's max-min fair
// share of their sum.
func (u *BudgetUsage) JainFairness() float64 {
	total := 0
	for _, started := range u.startedByNode {
		total += started
	}
	demands := slices.Clone(u.requestedByNode)
	slices.Sort(demands)
	remaining, level := float64(total), 0.0
	for i, demand := range demands {
		level = remaining / float64(len(demands)-i)
		if float64(demand) > level {
			break
		}
		remaining -= float64(demand)
	}
	sum, squares, n := 0.0, 0.0, 0.0
	for i, started := range u.startedByNode {
		fairShare := min(float64(u.requestedByNode[i]), level)
		if fairShare < 1 {
			continue
		}
		demand := float64(started) / fairShare
		sum, squares, n = sum+demand, squares+demand*demand, n+1
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / n / squares
}

// watchShift begins to sample the units of nodes that have become hot. It ignores the first 10 s, in which the allocation
// starts from nothing.
func (s *budgetSim) watchShift(hotNodes []int) {
	if s.clock.now > startTime+10*second {
		s.shiftedNodes, s.shiftedAt, s.shiftedUnits = hotNodes, s.clock.now, nil
	}
}

// watchRecovery begins to wait until the live nodes hold 90% of the units that are allocated now.
func (s *budgetSim) watchRecovery() {
	if budgetState := s.state.Budgets[budgetName]; budgetState != nil {
		s.recoveryUnits, s.nodesKilledAt = budgetState.Allocated()*9/10, s.clock.now
	}
}

// Summary describes the usage in one line. Its shares leave out the first 10 s, in which the allocation starts from nothing.
func (u *BudgetUsage) Summary(e *Experiment) string {
	nodes, seconds := float64(e.Fleet.Nodes), e.Length.Seconds()
	usedShare, exactShare, evenShare := u.Shares(e.Fleet.Budget.Limit, 10, int(seconds))
	text := fmt.Sprintf("fullest %.2f; fairness %.3f", u.PeakShare, u.JainFairness())
	if e.Fleet.Budget.Kind == lease.BudgetKindRate {
		text = fmt.Sprintf("of the whole used %.3f, by one exact limiter %.3f, by even parts %.3f (%.3f of the limiter); ", usedShare, exactShare, evenShare,
			usedShare/max(1e-9, exactShare)) + text
	}
	if len(u.ShiftSeconds) > 0 {
		text += fmt.Sprintf("; moved demand has 90%% after %.2f s (longest of %d)", slices.Max(u.ShiftSeconds), len(u.ShiftSeconds))
	}
	if len(u.RecoverySeconds) > 0 {
		text += fmt.Sprintf("; given again after %.2f s", slices.Max(u.RecoverySeconds))
	}
	return text + fmt.Sprintf("; %.2f messages a node and second, %.2f entries a node in 10 s", float64(u.Messages)/nodes/seconds, float64(u.LogEntries)/nodes/seconds*10)
}

// BudgetUsageHeader is the header record of the CSV file of budget usage.
var BudgetUsageHeader = []string{"experiment", "second", "wanted", "used", "exact", "even"}

// WriteCSV writes a CSV record for each second, without the header: the demand, the use, and what the exact and the even
// limiters allow, relative to the limit.
func (u *BudgetUsage) WriteCSV(w *csv.Writer, e *Experiment) error {
	for start := 0; start+10 <= len(u.DemandPerTenth); start += 10 {
		record := []string{e.Name, strconv.Itoa(start / 10)}
		for _, counts := range [][]int{u.DemandPerTenth, u.StartedPerTenth, u.ExactPerTenth, u.EvenPerTenth} {
			sum := 0
			for _, count := range counts[start : start+10] {
				sum += count
			}
			record = append(record, strconv.FormatFloat(float64(sum)/e.Fleet.Budget.Limit, 'f', 4, 64))
		}
		if err := w.Write(record); err != nil {
			return err
		}
	}
	return nil
}
