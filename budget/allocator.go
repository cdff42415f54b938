package budget

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/thistlerudder/thistlerudder/lease"
)

// Time is the clock that leases are counted by.
type Time = lease.Time

const (
	divideEvery  = 20 * lease.Millisecond  // between two divisions: what came meanwhile goes into one entry
	entriesEach  = 0.05                    // entries of the log that each node may cost a second in steady demand, where moves are small,
	entriesLeast = 0.8                     // however few they are;
	entriesMoved = 4.0                     // entries a second where demand moves, or units go round in turns,
	entriesSaved = 12.0                    // and as many more at once;
	entryEvery   = 150 * lease.Millisecond // between two, so that what moves on for a while costs few of them;
	smallPart    = 32                      // moves of less than so small a part of a budget are small
	turnSpan     = 500 * lease.Millisecond // for which a node has a unit, where there are fewer than nodes that want one
	reservePart  = 50                      // a fiftieth of what can be lent waits for nodes that have none,
	reserveEach  = 2                       // where each could have two units besides
	asksMost     = 4096                    // askings out at a leader
	holdsMost    = 64                      // budgets in one
	weightMost   = 1e6
	waitMost     = 10000 * lease.Millisecond
)

// Holding is what a node says of one budget.
type Holding struct {
	Budget   string `json:"Budget"`
	Token    uint64 `json:"Token"`    // of the part that it knows, 0: none
	Units    int    `json:"Units"`    // of it that it acts on at the most, from before this was sent on
	Demand   int    `json:"Want"`     // all that it could use now
	ShrinkTo int    `json:"Keep"`     // what it was last asked to come down to, -1: nothing
	Revision uint64 `json:"Revision"` // of the terms that it knows
}

// Request is a node's word: what it holds and wants, under the lease of its name. It is answered once there is news.
type Request struct {
	Lease    string                        `json:"Lease"`
	Token    uint64                        `json:"Token"`
	Weight   float64                       `json:"Weight"` // beside the others', 0: 1
	Wait     Time                          `json:"Wait"`
	Held     []Holding                     `json:"Holds"`
	Declared map[string]lease.BudgetConfig `json:"Declares"` // as its own papers have them, where the fleet has none yet
}

// QuotaUpdate is what a node is told of one budget.
type QuotaUpdate struct {
	Budget   string             `json:"Budget"`
	Config   lease.BudgetConfig `json:"Terms"`
	Quota    lease.Quota        `json:"Part"`
	ShrinkTo int                `json:"Keep"` // what it is to come down to, as soon as it can; -1: nothing

	Allocated int `json:"Given"` // of the whole: what is out as parts, and what waits for newcomers
	Reserve   int `json:"Reserve"`
}

// Response is what an asking comes to.
type Response struct {
	Updates []QuotaUpdate
	Err     error
}

// Host is all that a Divider can do. None of the methods may block or call back.
type Host interface {
	// Propose brings an entry to the log; Applied tells how it went.
	Propose(ref uint64, e lease.Entry)
	// Respond ends an asking.
	Respond(id uint64, a Response)
	// SetAlarm asks for Alarm at that time or soon after.
	SetAlarm(at Time)
}

// Unsafe takes a safeguard out, to show that the checks would see it.
type Unsafe struct {
	Reuse  bool // what is asked back counts as free before its holder has given it
	Forget bool // a new leader takes all parts to be free
	Words  bool // an old word about a part counts for the one now
}

// member is a node in touch.
type member struct {
	token  uint64
	weight float64
	holds  map[string]Holding
	keep   map[string]int // what it is to come down to
	ask    uint64         // its asking, 0: none is out
	until  Time
}

// turn is when a node last came to have units of a budget, and last had none left.
type turn struct {
	got, lost Time
	has       bool
}

// Allocator is the leader's memory of what the nodes want. A new leader begins with the parts alone, which are in the State:
// who hasn't spoken yet keeps what it has. It is not safe for concurrent use.
type Allocator struct {
	host   Host
	state  *lease.State
	unsafe Unsafe

	leads    bool
	reign    uint64
	members  map[string]*member // by lease
	turns    map[string]map[string]turn
	reserves map[string]int // as of the last division
	refs     uint64
	out      map[uint64]lease.Entry // proposals that are out
	moving   bool                   // one of moves is among them
	stale    bool                   // something has changed since the last division
	due      Time                   // of the next one
	entryAt  Time                   // of the latest entry
	small    float64                // entries for small moves that may be made
	again    Time                   // when to divide again though nothing has changed, 0: no need
	saved    float64                // entries that may be made
	savedAt  Time
}

// NewAllocator makes one that doesn't lead.
func NewAllocator(host Host, state *lease.State, u Unsafe) *Allocator {
	d := &Allocator{host: host, state: state, unsafe: u}
	d.Demote()
	return d
}

// Promote tells that this process leads, from an entry of this reign on that is applied.
func (d *Allocator) Promote(now Time, reign uint64) {
	d.Demote()
	d.leads, d.reign, d.saved, d.savedAt, d.entryAt = true, reign, entriesSaved, now, now-entryEvery
	if d.unsafe.Forget {
		var all []lease.QuotaMove
		for name, b := range d.state.Budgets {
			for l, p := range b.Quotas {
				all = append(all, lease.QuotaMove{Budget: name, Lease: l, Token: d.state.Leases[l].Token, FromToken: p.Token})
			}
		}
		d.propose(lease.Entry{Kind: lease.KindMoveQuotas, Moves: all})
	}
	d.StateChanged(now)
}

// Demote tells that it leads no more, or may not: all that was kept in mind is void.
func (d *Allocator) Demote() {
	for _, name := range slices.Sorted(maps.Keys(d.members)) {
		d.reply(d.members[name], Response{Err: lease.ErrNotLeader})
	}
	d.leads, d.moving, d.stale = false, false, false
	d.members, d.turns, d.out, d.reserves = map[string]*member{}, map[string]map[string]turn{}, map[uint64]lease.Entry{}, map[string]int{}
}

// IsLeader says whether it leads, as far as it knows.
func (d *Allocator) IsLeader() bool { return d.leads }

// Demand gives what all nodes in touch want of a budget, and what is being held back for those who have none.
func (d *Allocator) Demand(name string) (want, reserve int) {
	for _, m := range d.members {
		want += m.holds[name].Demand
	}
	return want, d.reserves[name]
}

// Handle takes an asking, under a number above 0 that is not out.
func (d *Allocator) Handle(now Time, id uint64, a Request) {
	held, is := d.state.Leases[a.Lease]
	switch {
	case !d.leads:
		d.host.Respond(id, Response{Err: lease.ErrNotLeader})
		return
	case !is || held.Token != a.Token:
		d.host.Respond(id, Response{Err: lease.ErrLeaseExpired})
		return
	case len(d.members) >= asksMost && d.members[a.Lease] == nil:
		d.host.Respond(id, Response{Err: lease.ErrLimitExceeded})
		return
	case a.Weight < 0 || a.Weight > weightMost || len(a.Held) > holdsMost || len(a.Declared) > holdsMost:
		d.host.Respond(id, Response{Err: lease.ErrMalformed})
		return
	}
	m := d.members[a.Lease]
	if m == nil || m.token != a.Token {
		if m != nil {
			d.reply(m, Response{Err: lease.ErrWithdrawn})
		}
		m = &member{token: a.Token, holds: map[string]Holding{}, keep: map[string]int{}}
		d.members[a.Lease] = m
		d.stale = true
	}
	d.reply(m, Response{Err: lease.ErrWithdrawn}) // the same node asks anew
	m.ask, m.until, m.weight = id, now+min(max(a.Wait, 0), waitMost), cmp.Or(a.Weight, 1)
	for _, h := range a.Held {
		was, known := m.holds[h.Budget]
		b := d.state.Budgets[h.Budget]
		d.stale = d.stale || !known || was.Demand != h.Demand || b != nil && b.Quotas[a.Lease].Units > h.Units
		m.holds[h.Budget] = h
	}
	for _, name := range slices.Sorted(maps.Keys(a.Declared)) {
		t := a.Declared[name]
		if t.Revision = 0; d.state.Budgets[name] == nil && !d.declares(name) {
			d.propose(lease.Entry{Kind: lease.KindSetBudget, Name: name, Budget: &t})
		}
	}
	d.tell(a.Lease)
	d.wake(now)
}

func (d *Allocator) declares(name string) bool {
	for _, e := range d.out {
		if e.Kind == lease.KindSetBudget && e.Name == name {
			return true
		}
	}
	return false
}

// CallerGone tells that the caller of an asking has gone; its node may be there yet.
func (d *Allocator) CallerGone(id uint64) {
	for _, m := range d.members {
		if m.ask == id {
			m.ask = 0
		}
	}
}

// StateChanged tells that the State has changed, by whatever entry.
func (d *Allocator) StateChanged(now Time) {
	if d.leads {
		d.stale = true
		d.wake(now)
	}
}

// Applied tells what one of our proposals came to. lost says that it may yet be applied or not.
func (d *Allocator) Applied(now Time, ref uint64, lost bool) {
	e, ours := d.out[ref]
	if !ours {
		return
	}
	delete(d.out, ref)
	if e.Kind == lease.KindMoveQuotas {
		d.moving = false
		if lost {
			d.due = now + divideEvery // whatever became of it, the State tells
		}
	}
	d.stale = true
	for _, name := range slices.Sorted(maps.Keys(d.members)) {
		d.tell(name)
	}
	d.wake(now)
}

func (d *Allocator) propose(e lease.Entry) {
	if e.Term = d.reign; e.Kind == lease.KindMoveQuotas {
		e.Name, d.moving = "parts", true
	}
	e.Version = 2
	d.refs++
	d.out[d.refs] = e
	d.host.Propose(d.refs, e)
}

func (d *Allocator) reply(m *member, a Response) {
	if m.ask != 0 {
		id := m.ask
		m.ask = 0
		d.host.Respond(id, a)
	}
}

// tell answers a node's asking, if there is news for it.
func (d *Allocator) tell(name string) {
	m := d.members[name]
	if m == nil || m.ask == 0 {
		return
	}
	news := false
	var all []QuotaUpdate
	for _, budget := range slices.Sorted(maps.Keys(m.holds)) {
		b, h := d.state.Budgets[budget], m.holds[budget]
		if b == nil {
			continue
		}
		n := QuotaUpdate{Budget: budget, Config: b.BudgetConfig, Quota: b.Quotas[name], ShrinkTo: -1, Allocated: b.Allocated(), Reserve: d.reserves[budget]}
		if keep, asked := m.keep[budget]; asked && keep < n.Quota.Units {
			n.ShrinkTo = keep
		}
		news = news || n.Quota.Token > h.Token || n.ShrinkTo != h.ShrinkTo && n.Quota.Token == h.Token || b.Revision != h.Revision
		all = append(all, n)
	}
	if news {
		d.reply(m, Response{Updates: all})
	}
}

// Alarm comes at or after a time asked for with Wake.
func (d *Allocator) Alarm(now Time) {
	if !d.leads {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(d.members)) {
		m := d.members[name]
		if held, is := d.state.Leases[name]; !is || held.Token != m.token {
			d.reply(m, Response{Err: lease.ErrLeaseExpired})
			delete(d.members, name)
			d.stale = true
		} else if m.ask != 0 && now >= m.until {
			d.reply(m, Response{Err: lease.ErrStillHeld})
		}
	}
	if !d.moving && (d.stale && now >= d.due || d.again > 0 && now >= d.again) {
		d.divide(now)
	}
	d.wake(now)
}

// may says whether another entry may be made: in steady demand there are few, and what moves finds some saved up.
func (d *Allocator) may(now Time, what haste) bool {
	span := float64(now-d.savedAt) / float64(1000*lease.Millisecond)
	each := max(entriesLeast, entriesEach*float64(len(d.members)))
	d.small, d.saved, d.savedAt = min(1, d.small+each*span), min(entriesSaved, d.saved+entriesMoved*span), now
	next := d.entryAt + entryEvery
	switch {
	case what == none:
		return false
	case what == little && d.small < 1:
		next = max(next, now+1+Time((1-d.small)/each*float64(1000*lease.Millisecond)))
	case what == much && d.saved < 1:
		next = max(next, now+1+Time((1-d.saved)/entriesMoved*float64(1000*lease.Millisecond)))
	}
	if now < next {
		d.again = next
		return false
	}
	return true
}

// haste is how much has to be moved.
type haste int

const (
	none haste = iota
	little
	much
)

func (d *Allocator) wake(now Time) {
	at := Time(math.MaxInt64)
	if d.stale && !d.moving {
		at = d.due
	}
	if d.again > 0 && !d.moving {
		at = min(at, d.again)
	}
	for _, m := range d.members {
		if m.ask != 0 {
			at = min(at, m.until)
		}
	}
	if at < math.MaxInt64 {
		d.host.SetAlarm(max(at, now))
	}
}

// leasesOf gives the leases of all who have or may have a part of a budget, in order.
func (d *Allocator) leasesOf(b *lease.Budget) []string {
	all := map[string]bool{}
	for name := range b.Quotas {
		all[name] = true
	}
	for name := range d.members {
		all[name] = true
	}
	return slices.Sorted(maps.Keys(all))
}

func reserveOf(b *lease.Budget, nodes int) int {
	if lendable := b.Allocatable(); lendable >= reserveEach*nodes+reservePart {
		return lendable / reservePart
	}
	return 0
}

// divide looks at all budgets, and brings one entry for what has to move.
func (d *Allocator) divide(now Time) {
	d.stale, d.due, d.again = false, now+divideEvery, 0
	var moves []lease.QuotaMove
	what := none
	names := slices.Sorted(maps.Keys(d.state.Budgets))
	deals := make([]deal, len(names))
	for i, name := range names {
		deals[i] = d.of(now, name, d.state.Budgets[name])
		what = max(what, deals[i].haste)
	}
	may := d.may(now, what)
	for i, name := range names {
		b := d.state.Budgets[name]
		if may || b.Allocated() > b.Allocatable() { // a whole that was lowered doesn't wait: nodes come down when they are told
			moves = append(moves, deals[i].moves...)
			for _, m := range d.members {
				delete(m.keep, name)
			}
			for l, keep := range deals[i].keep {
				d.members[l].keep[name] = keep
			}
		}
	}
	if may && len(moves) > 0 {
		if d.entryAt = now; what == much {
			d.saved--
		} else {
			d.small--
		}
		d.propose(lease.Entry{Kind: lease.KindMoveQuotas, Moves: moves})
	}
	for _, name := range slices.Sorted(maps.Keys(d.members)) {
		d.tell(name)
	}
}

// deal is what is to be done about one budget.
type deal struct {
	moves []lease.QuotaMove
	keep  map[string]int // who is to come down, and to what
	haste haste
}

// of divides one budget: what its nodes have given back is taken off them, what is free is given to who should have
// more, and who has too much is asked to come down.
func (d *Allocator) of(now Time, name string, b *lease.Budget) (x deal) {
	var moves []lease.QuotaMove
	x.keep = map[string]int{}
	leases := d.leasesOf(b)
	claims := make([]claim, len(leases))
	reserve := reserveOf(b, len(leases))
	d.reserves[name] = reserve
	units := b.Allocatable() - reserve
	least := 0
	if b.ReservedPerNode == 0 && units >= len(leases) {
		least = 1
	}
	wanting := 0
	for i, l := range leases {
		p, m := b.Quotas[l], d.members[l]
		claims[i] = claim{want: p.Units, weight: 1, has: p.Units}
		if m != nil {
			h := m.holds[name]
			claims[i].want, claims[i].weight = max(h.Demand-b.ReservedPerNode, least), m.weight
			if p.Token != 0 && (h.Token == p.Token || d.unsafe.Words) && h.Units < p.Units {
				claims[i].has = max(0, h.Units)
				moves = append(moves, lease.QuotaMove{Budget: name, Lease: l, Token: m.token, FromToken: p.Token, Units: claims[i].has})
			}
		}
		if claims[i].want > 0 {
			wanting++
		}
	}
	target := d.targets(now, name, units, wanting, leases, claims)
	free := b.Allocatable()
	for _, c := range claims {
		free -= c.has
	}
	for i, l := range leases {
		if m := d.members[l]; m != nil {
			if target[i] < claims[i].has {
				x.keep[l] = target[i]
				if d.unsafe.Reuse {
					free += claims[i].has - target[i]
					moves = append(moves, lease.QuotaMove{Budget: name, Lease: l, Token: m.token, FromToken: b.Quotas[l].Token, Units: target[i]})
				}
			}
		}
	}
	order := make([]int, len(leases))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Or(cmp.Compare(min(1, claims[x].has), min(1, claims[y].has)), cmp.Compare(claims[x].rank, claims[y].rank))
	})
	for _, i := range order { // who has nothing comes first, and may have of the reserve
		m, c := d.members[leases[i]], claims[i]
		may := free
		if c.has > 0 {
			may -= reserve
		}
		more := min(target[i]-c.has, may)
		down := slices.ContainsFunc(moves, func(x lease.QuotaMove) bool { return x.Lease == leases[i] })
		if m == nil || more <= 0 || down { // who has just come down may have more at the next division
			continue
		}
		free -= more
		moves = append(moves, lease.QuotaMove{Budget: name, Lease: leases[i], Token: m.token, FromToken: b.Quotas[leases[i]].Token, Units: c.has + more})
	}
	off, new := 0, false
	for i, c := range claims {
		off += max(target[i]-c.has, c.has-target[i])
		new = new || c.has == 0 && target[i] > 0
	}
	switch {
	case new || off > 2*(b.Allocatable()/smallPart) || b.Allocated() > b.Allocatable():
		x.haste = much
	case len(moves) > 0 || len(x.keep) > 0:
		x.haste = little
	}
	x.moves = moves
	return x
}

// targets says how many units each should have. Where there are fewer than nodes that want one, they go round in turns:
// who has waited longest comes first, and who has had its turn last.
func (d *Allocator) targets(now Time, name string, units, wanting int, leases []string, claims []claim) []int {
	turns := d.turns[name]
	if turns == nil {
		turns = map[string]turn{}
		d.turns[name] = turns
	}
	for i, l := range leases {
		t, known := turns[l]
		has := claims[i].has > 0
		switch {
		case has && !t.has:
			t.got = now
		case !has && t.has || !known:
			t.lost = now
		}
		t.has = has
		turns[l] = t
		claims[i].rank = i
	}
	maps.DeleteFunc(turns, func(l string, _ turn) bool { _, there := slices.BinarySearch(leases, l); return !there })
	if units < wanting {
		next := Time(math.MaxInt64)
		order := make([]int, len(leases))
		for i := range order {
			order[i] = i
		}
		class := func(i int) int {
			switch t := turns[leases[i]]; {
			case t.has && now < t.got+turnSpan:
				next = min(next, t.got+turnSpan)
				return 0
			case !t.has:
				return 1
			}
			return 2
		}
		slices.SortStableFunc(order, func(x, y int) int {
			a, b := turns[leases[x]], turns[leases[y]]
			switch byClass := cmp.Compare(class(x), class(y)); {
			case byClass != 0:
				return byClass
			case a.has:
				return cmp.Compare(b.got, a.got)
			}
			return cmp.Compare(a.lost, b.lost)
		})
		for rank, i := range order {
			claims[i].rank = rank
		}
		d.again = min(next, now+turnSpan/2) // someone's turn ends, and others wait
		for i := range claims {
			claims[i].want = min(claims[i].want, 1)
		}
		return shares(units, claims)
	}
	base, rest := make([]int, len(claims)), slices.Clone(claims)
	for i := range rest { // one for all that want some, whatever their weight
		base[i] = min(1, rest[i].want)
		rest[i].want -= base[i]
		units -= base[i]
	}
	target := shares(units, rest)
	for i := range target {
		target[i] += base[i]
	}
	for _, n := range base {
		units += n
	}
	steady(units, claims, target)
	return target
}
