package simulation

import (
	"encoding/csv"
	"fmt"
	"math"
	"slices"
	"strconv"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/lease"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Budget is what all nodes together may do at the origin, divided among them as on sockets: by the same leader's memory, the
// same purses and the same state. Agreement is a log with a delay and one leader at a time.
type Budget struct {
	Kind          string   `toml:"kind"`  // rate or number
	Limit         float64  `toml:"whole"` // fetches a second, or at a time
	Burst         int      `toml:"burst"` // of a rate
	ReservedShare float64  `toml:"apart"` // share set aside for nodes that are cut off
	LeaseDuration Duration `toml:"lease"`
	ClockDrift    float64  `toml:"drift"`
	LogDelay      Duration `toml:"log"` // from an entry's proposal to its agreement
	// Way is how the whole is shared out: divided (empty), or even: an even part for each node, for ever.
	Allocation string `toml:"way"`
}

func (b *Budget) check(require func(ok bool, key, expected string, got any)) {
	require(b.Kind == lease.RateKind || b.Kind == lease.ConcurrencyKind, "fleet.budget.kind", "rate or number", b.Kind)
	require(b.Limit > 0, "fleet.budget.whole", "a number above 0", b.Limit)
	require(b.Kind != lease.RateKind || b.Burst >= 1, "fleet.budget.burst", "1 or more", b.Burst)
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

func (b *Budget) config(nodes int) lease.BudgetConfig {
	config := lease.BudgetConfig{Kind: b.Kind, Resource: "origin", Units: int(b.Limit), RatePerUnit: 1, MaxNodes: nodes}
	if b.Kind == lease.RateKind {
		config.Units, config.RatePerUnit = b.Burst, b.Limit/float64(b.Burst)
	}
	config.ReservedPerNode = int(b.ReservedShare*float64(config.Units)/float64(nodes) + 1e-9)
	return config
}

// Use is how much of a budget was used, beside what others would have given the same demand.
type BudgetUsage struct {
	DemandPerTenth, StartedPerTenth []int // lookups that wanted it and those that had it, by tenths of a second
	ExactPerTenth, EvenPerTenth     []int // had of one limiter that sees all, and of even parts
	ShiftSeconds                    []float64
	RecoverySeconds                 []float64 // seconds until all of what killed nodes had was given again
	LogEntries, Messages            int
	PeakShare                       float64 // the most that came in any window beyond the rate in it, or at a time, as a share of what may be
	requestedByNode, startedByNode  []int   // by node
}

// quotaHolder is one node's side.
type budgetNode struct {
	sim               *budgetSim
	index             int
	client            *budget.QuotaClient
	leaseToken        uint64
	leaseEnd          lease.Time
	incarnation       int
	isDown            bool
	disconnectedUntil routing.Time // until when nobody hears it
	lastSendID        uint64
	limit             routing.Limit
}

// division is the agreement and its leader, and all nodes' sides.
type budgetSim struct {
	*testbed
	config           lease.BudgetConfig
	state            *lease.State
	allocator        *budget.Allocator
	leaseEnds        map[string]lease.Time
	leaderlessUntil  routing.Time
	leaderElected    bool
	leaderChanges    int
	budgetNodes      []*budgetNode
	alarmAt          routing.Time
	usage            BudgetUsage
	pendingResponses map[uint64]func(budget.Response)
	lastRequestID    uint64

	exactTokens     float64
	exactUpdatedAt  routing.Time
	evenTokens      []float64
	evenUpdatedAt   []routing.Time
	bucketLevel     float64
	bucketUpdatedAt routing.Time
	inFlight        int
	shiftedNodes    []int // nodes whose demand has just come
	shiftedAt       routing.Time
	recoveryUnits   int
	nodesKilledAt   routing.Time
	shiftedUnits    []int // by those, every lookEvery
	evenUnits       float64
}

const (
	budgetName     = "origin"
	sampleInterval = 20 * routing.Millisecond
	settleTime     = 5 * second // after a move, when all has come to rest
)

func leaseName(n int) string { return fmt.Sprint("node/", n) }

func (tb *testbed) startBudget() {
	budgetConfig := tb.experiment.Fleet.Budget
	s := &budgetSim{testbed: tb, config: budgetConfig.config(tb.experiment.Fleet.Nodes), state: lease.NewState(), leaseEnds: map[string]lease.Time{}, pendingResponses: map[uint64]func(budget.Response){},
		evenTokens: make([]float64, tb.experiment.Fleet.Nodes), evenUpdatedAt: make([]routing.Time, tb.experiment.Fleet.Nodes)}
	tb.budgetSim = s
	tenths := int(tb.experiment.Length.Seconds()*10) + 1
	s.usage = BudgetUsage{DemandPerTenth: make([]int, tenths), StartedPerTenth: make([]int, tenths), ExactPerTenth: make([]int, tenths), EvenPerTenth: make([]int, tenths),
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
		if budgetConfig.Kind == lease.ConcurrencyKind {
			n.limit = routing.OriginConcurrency
		}
		s.budgetNodes = append(s.budgetNodes, n)
		n.start()
	}
	s.expireLeases()
}

func (s *budgetSim) now() lease.Time { return lease.Time(s.clock.now) }

func (s *budgetSim) hasLeader() bool { return s.leaderElected && s.clock.now >= s.leaderlessUntil }

func (s *budgetSim) electLeader() {
	s.leaderChanges++
	result := s.apply(lease.Entry{Version: 1, Kind: lease.KindNewTerm, Name: "l"})
	s.leaderElected = true
	for name := range s.leaseEnds {
		s.leaseEnds[name] = s.now() + s.granterDuration()
	}
	s.allocator.Promote(s.now(), result.Term)
}

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

func (s *budgetSim) granterDuration() lease.Time {
	b := s.experiment.Fleet.Budget
	return lease.GranterDuration(lease.Time(b.LeaseDuration.ticks()), b.ClockDrift)
}

// sweep ends leases that have run out.
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

// look notes when what was waited for is there.
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
			for i, sample := range s.shiftedUnits { // until nine tenths of what they come to hold in the end
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

// The division is its divider's host.

// Propose is for budget.Host, as all below.
func (s *budgetSim) Propose(ref uint64, entry lease.Entry) {
	leaderChanges := s.leaderChanges
	s.clock.schedule(s.experiment.Fleet.Budget.LogDelay.ticks(), func() {
		if leaderChanges == s.leaderChanges {
			s.apply(entry)
			s.allocator.Applied(s.now(), ref, false)
		}
	})
}

// Respond ends an asking.
func (s *budgetSim) Respond(id uint64, response budget.Response) {
	if respond := s.pendingResponses[id]; respond != nil {
		delete(s.pendingResponses, id)
		respond(response)
	}
}

// SetAlarm books the divider's alarm.
func (s *budgetSim) SetAlarm(alarmTime lease.Time) {
	s.alarmAt = routing.Time(alarmTime)
	s.clock.schedule(s.alarmAt-s.clock.now, func() {
		if s.hasLeader() && s.clock.now >= s.alarmAt {
			s.allocator.Alarm(s.now())
		}
	})
}

// begin starts a node's process: its name is claimed until it is had.
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
			result := s.apply(lease.Entry{Version: 1, Kind: lease.KindGrant, Name: leaseName(n.index), Holder: lease.Holder{Name: fmt.Sprint(n.index), Process: n.incarnation}})
			if result.Err != nil {
				s.clock.schedule(50*routing.Millisecond, claim)
				return
			}
			s.leaseEnds[leaseName(n.index)] = s.now() + s.granterDuration()
			n.leaseToken, n.leaseEnd = result.Token, sentAt+n.holderDuration()
			n.client = budget.NewQuotaClient(n, s.now(), leaseName(n.index), n.leaseToken, 1, map[string]lease.BudgetConfig{budgetName: s.config}, n.leaseEnd,
				min(lease.Time(s.experiment.Demand.TimeLimit.ticks()), lease.Time(s.experiment.Fleet.Budget.LeaseDuration.ticks()/3)))
			n.scheduleRenewal(incarnation)
		})
	}
	s.clock.schedule(routing.Time(float64(100*routing.Millisecond)*s.fleetRand.Float64()), claim)
}

func (n *budgetNode) holderDuration() lease.Time {
	b := n.sim.experiment.Fleet.Budget
	return lease.HolderDuration(lease.Time(b.LeaseDuration.ticks()), b.ClockDrift)
}

func (s *budgetSim) oneWayDelay() routing.Time { return s.experiment.Network.OneWayDelay.ticks() }

// heard says whether the leader and the node hear each other now.
func (n *budgetNode) canReachLeader() bool {
	return !n.isDown && n.sim.hasLeader() && n.sim.clock.now >= n.disconnectedUntil
}

func (n *budgetNode) scheduleRenewal(incarnation int) {
	s := n.sim
	s.clock.schedule(s.experiment.Fleet.Budget.LeaseDuration.ticks()/3, func() {
		if incarnation != n.incarnation || n.isDown {
			return
		}
		sentAt, token := s.now(), n.leaseToken
		if current := s.state.Leases[leaseName(n.index)]; current.Token != token && n.canReachLeader() { // it ran out: anew
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

// kill ends the process for good, or for a while.
func (n *budgetNode) kill() {
	n.incarnation++
	n.isDown, n.client = true, nil
}

func (n *budgetNode) applyQuota(config lease.BudgetConfig, units, reservedUnits int, remaining routing.Time) allowance.Usage {
	rateFactor := 1 - n.sim.experiment.Fleet.Budget.ClockDrift
	balancer, ok := n.sim.nodes[n.index].policy.(*routing.Balancer)
	if !ok {
		return allowance.Usage{}
	}
	if n.sim.experiment.Fleet.Budget.Allocation == "even" {
		units, reservedUnits = 0, 0
		return balancer.SetQuota(n.sim.clock.now, n.limit, 0, allowance.Quota{Concurrency: config.Kind == lease.ConcurrencyKind, Rate: n.sim.config.RatePerUnit * float64(n.sim.config.Units) / float64(len(n.sim.nodes)),
			Burst: n.sim.evenUnits, Until: math.MaxInt64})
	}
	quota := allowance.Quota{Concurrency: config.Kind == lease.ConcurrencyKind, Burst: float64(units), ThenBurst: float64(reservedUnits), Until: int64(n.sim.clock.now + remaining)}
	if !quota.Concurrency {
		quota.Rate, quota.ThenRate = config.RatePerUnit*rateFactor*float64(units), config.RatePerUnit*rateFactor*float64(reservedUnits)
	}
	return balancer.SetQuota(n.sim.clock.now, n.limit, 0, quota)
}

// quotaHolder is the host of its quota client.

// SetQuota is for budget.Acts, as all below.
func (n *budgetNode) SetQuota(_ string, config lease.BudgetConfig, units, reservedUnits int, end lease.Time) allowance.Usage {
	return n.applyQuota(config, units, reservedUnits, routing.Time(end)-n.sim.clock.now)
}

// Send sends an asking to the leader.
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
	s.clock.schedule(routing.Time(request.Wait)+300*routing.Millisecond, func() { // no answer in time
		if isCurrent() {
			n.client.HandleTimeout(s.now())
		}
	})
}

// SetAlarm books the purse's alarm.
func (n *budgetNode) SetAlarm(alarmTime lease.Time) {
	incarnation := n.incarnation
	n.sim.clock.schedule(routing.Time(alarmTime)-n.sim.clock.now, func() {
		if incarnation == n.incarnation && n.client != nil && !n.isDown {
			n.client.Alarm(n.sim.now())
		}
	})
}

// wants notes a lookup that wants a fetch, and asks the limiters that only look on.
func (s *budgetSim) recordDemand(node int) {
	tenth, now := s.tenthIndex(), s.clock.now
	if tenth >= len(s.usage.DemandPerTenth) {
		return
	}
	s.usage.DemandPerTenth[tenth]++
	s.usage.requestedByNode[node]++
	if s.config.Kind != lease.RateKind {
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

func (s *budgetSim) tenthIndex() int { return int((s.clock.now - startTime) / (second / 10)) }

// fetched notes a fetch that comes to the origin, and holds it against the whole.
func (s *budgetSim) fetchStarted(node int) {
	if tenth := s.tenthIndex(); tenth < len(s.usage.StartedPerTenth) {
		s.usage.StartedPerTenth[tenth]++
		s.usage.startedByNode[node]++
	}
	s.inFlight++
	if s.config.Kind == lease.RateKind {
		now := s.clock.now
		s.bucketLevel = max(1, s.bucketLevel+1-s.config.Limit()*float64(now-s.bucketUpdatedAt)/float64(second))
		s.bucketUpdatedAt = now
		s.usage.PeakShare = max(s.usage.PeakShare, s.bucketLevel/float64(s.config.Units))
	} else {
		s.usage.PeakShare = max(s.usage.PeakShare, float64(s.inFlight)/float64(s.config.Units))
	}
}

func (s *budgetSim) fetchEnded() { s.inFlight-- }

// Ratios gives the shares of the whole in use, and of what one exact limiter gives, from a second on to another.
func (u *BudgetUsage) Shares(limit float64, fromSecond, toSecond int) (usedShare, exactShare, evenShare float64) {
	share := func(counts []int) (total float64) {
		for i := fromSecond * 10; i < min(toSecond*10, len(counts)); i++ {
			total += float64(counts[i])
		}
		return total / limit / float64(toSecond-fromSecond)
	}
	return share(u.StartedPerTenth), share(u.ExactPerTenth), share(u.EvenPerTenth)
}

// Jain gives the fairness of what nodes had, each beside what it should have had by max-min of what they wanted.
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

// moved begins to look at what nodes come to hold whose demand has just risen.
func (s *budgetSim) watchShift(hotNodes []int) {
	if s.clock.now > startTime+10*second {
		s.shiftedNodes, s.shiftedAt, s.shiftedUnits = hotNodes, s.clock.now, nil
	}
}

// killed begins to wait until as much is given again as before.
func (s *budgetSim) watchRecovery() {
	if budgetState := s.state.Budgets[budgetName]; budgetState != nil {
		s.recoveryUnits, s.nodesKilledAt = budgetState.Allocated()*9/10, s.clock.now
	}
}

// Line tells a run's use of its budget in words; the first ten seconds, in which all begins, don't count.
func (u *BudgetUsage) Line(e *Experiment) string {
	nodes, seconds := float64(e.Fleet.Nodes), e.Length.Seconds()
	usedShare, exactShare, evenShare := u.Shares(e.Fleet.Budget.Limit, 10, int(seconds))
	text := fmt.Sprintf("fullest %.2f; fairness %.3f", u.PeakShare, u.JainFairness())
	if e.Fleet.Budget.Kind == lease.RateKind {
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

// UseHeader is the first line of a table of use.
var UseHeader = []string{"experiment", "second", "wanted", "used", "exact", "even"}

// Write writes the shares of the whole that were wanted, used, and given by others, second by second.
func (u *BudgetUsage) Write(w *csv.Writer, e *Experiment) error {
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
