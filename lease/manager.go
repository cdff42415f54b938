package lease

import (
	"errors"
	"maps"
	"slices"
)

const (
	waitersMost = 1024 // who wait for one name; more are refused at once
	asksMost    = 8192 // askings out at a leader, all names together
	gracePart   = 3    // a third of a lease: for so long a waiter keeps its place between two askings
)

// ErrNotLeader says that whoever was asked doesn't lead, or can't prove that it does: ask again elsewhere.
var ErrNotLeader = errors.New("not the leader")

// ErrStillHeld says that the time to wait is over; who asks again soon keeps its place.
var ErrStillHeld = errors.New("still held by another")

// ErrWithdrawn says that its own holder has taken an asking back.
var ErrWithdrawn = errors.New("taken back")

// The kinds of asking.
const (
	OpAcquire  = "acquire"
	OpRenew    = "renew"
	OpRelease  = "release"
	OpWithdraw = "withdraw" // no longer waits for the name
	OpEffect   = "do"       // an act inside the fleet
)

// Request is what a claimant asks of the leader.
type Request struct {
	Operation string
	Name      string
	Holder    Holder
	Token     uint64
	Wait      Time // how long to wait for a lease that is held, a third of a lease at most; 0: not at all
	Effect    string
	Number    uint64
	Value     []byte
}

// Response is what comes of it. With ErrHeld and ErrWait, Holder and Token are of who has the lease.
type Response struct {
	Token    uint64
	Holder   Holder
	Duration Time // of a lease, as the leader takes it to be
	Err      error
}

// Host is all that a Keeper can do. None of the methods may block or call back.
type Host interface {
	// Propose brings an entry to the log; Applied tells how it went.
	Propose(ref uint64, e Entry)
	// ConfirmLeadership begins a round to a majority that shows whether we still lead; Confirmed tells.
	ConfirmLeadership(round uint64)
	// Respond ends an asking.
	Respond(id uint64, a Response)
	// SetAlarm asks for Alarm at that time or soon after.
	SetAlarm(at Time)
}

type asking struct {
	Request
	until Time
}

// waiter is one in line for a name. Between two askings it keeps its place for a while.
type waiter struct {
	holder Holder
	id     uint64 // its asking; 0: none at present
	until  Time   // until when the asking waits, or else the place is kept
}

// proposal is one of ours that is on its way.
type proposal struct {
	entry Entry
	id    uint64 // whom it answers; 0: nobody
}

// Manager is the leader's memory: until when each lease runs, who waits, and what is under way. A new leader begins with
// nothing but the State, so it gives every lease its full length again. It is not safe for concurrent use.
type Manager struct {
	host   Host
	state  *State
	length Time // as holders count it
	long   Time // as we do: a holder's clock may be slower than ours

	leads    bool
	reign    uint64
	ends     map[string]Time
	moving   map[string]bool // names of which a grant or an end is under way
	lines    map[string][]waiter
	asks     map[uint64]asking
	renewals []uint64 // wait for the next round,
	round    uint64   // and those of this one, 0: none is out
	inRound  []uint64
	out      map[uint64]proposal
	refs     uint64
}

// GranterDuration is a lease's length as the granter counts it, by the bound on how unlike any two clocks run.
func GranterDuration(length Time, drift float64) Time {
	return length + Time(float64(length)*drift) + 1
}

// HolderDuration is its length as its holder counts it.
func HolderDuration(length Time, drift float64) Time { return length - Time(float64(length)*drift) - 1 }

// NewManager makes one that doesn't lead. length is the lease's, long what it is lengthened to.
func NewManager(host Host, state *State, length, long Time) *Manager {
	k := &Manager{host: host, state: state, length: length, long: long}
	k.Demote()
	return k
}

// Promote tells that this process leads, from an entry of this reign on that is applied.
func (k *Manager) Promote(now Time, reign uint64) {
	k.Demote()
	k.leads, k.reign = true, reign
	for name := range k.state.Leases {
		k.ends[name] = now + k.long // the one before may have renewed it up to now
	}
	k.wake(now)
}

// Demote tells that it leads no more, or may not: all that was kept in mind is void.
func (k *Manager) Demote() {
	for _, id := range slices.Sorted(maps.Keys(k.asks)) {
		k.host.Respond(id, Response{Err: ErrNotLeader})
	}
	k.leads, k.round, k.renewals, k.inRound = false, 0, nil, nil
	k.ends, k.moving, k.lines = map[string]Time{}, map[string]bool{}, map[string][]waiter{}
	k.asks, k.out = map[uint64]asking{}, map[uint64]proposal{}
}

// IsLeader says whether it leads, as far as it knows.
func (k *Manager) IsLeader() bool { return k.leads }

// Expiry gives until when a lease runs as it is known here, and how many wait for it.
func (k *Manager) Expiry(name string) (end Time, waiting int) {
	return k.ends[name], len(k.lines[name])
}

// Handle takes an asking, under a number above 0 that is not out.
func (k *Manager) Handle(now Time, id uint64, a Request) {
	answer := func(x Response) { k.host.Respond(id, x) }
	switch {
	case !k.leads:
		answer(Response{Err: ErrNotLeader})
		return
	case len(k.asks) >= asksMost:
		answer(Response{Err: ErrLimitExceeded})
		return
	case !validName(a.Name) || a.Holder.Name == "":
		answer(Response{Err: ErrMalformed})
		return
	}
	held, is := k.state.Leases[a.Name]
	mine := is && held.Holder == a.Holder && !k.moving[a.Name]
	switch a.Operation {
	case OpAcquire:
		if mine {
			k.renew(id, a)
			return
		}
		k.line(now, id, a)
	case OpRenew:
		if !mine || held.Token != a.Token {
			answer(Response{Err: ErrLeaseExpired})
			return
		}
		k.renew(id, a)
	case OpRelease:
		if !mine || held.Token != a.Token {
			answer(Response{Err: ErrLeaseExpired})
			return
		}
		k.asks[id] = asking{Request: a}
		k.end(a.Name, held.Token, id)
	case OpWithdraw:
		k.lines[a.Name] = slices.DeleteFunc(k.lines[a.Name], func(w waiter) bool {
			if w.holder == a.Holder && w.id != 0 {
				k.reply(w.id, Response{Err: ErrWithdrawn})
			}
			return w.holder == a.Holder
		})
		answer(Response{})
	case OpEffect:
		k.asks[id] = asking{Request: a}
		k.propose(Entry{Kind: KindEffect, Name: a.Name, Token: a.Token, Effect: a.Effect, Number: a.Number, Value: a.Value}, id)
	default:
		answer(Response{Err: ErrMalformed})
	}
}

// reply answers an asking that is out.
func (k *Manager) reply(id uint64, a Response) {
	if _, out := k.asks[id]; out {
		delete(k.asks, id)
		k.host.Respond(id, a)
	}
}

// renew waits for a round to a majority that begins from now on: one that is out already shows only that we led before.
func (k *Manager) renew(id uint64, a Request) {
	k.asks[id] = asking{Request: a}
	k.renewals = append(k.renewals, id)
	k.confirm()
}

func (k *Manager) confirm() {
	if k.round != 0 || len(k.renewals) == 0 {
		return
	}
	k.refs++
	k.round, k.inRound, k.renewals = k.refs, k.renewals, nil
	k.host.ConfirmLeadership(k.round)
}

// LeadershipConfirmed tells how a round went. Without a majority nothing is renewed.
func (k *Manager) LeadershipConfirmed(now Time, round uint64, led bool) {
	if round != k.round || round == 0 {
		return
	}
	of := k.inRound
	k.round, k.inRound = 0, nil
	for _, id := range of {
		a, out := k.asks[id]
		if !out {
			continue // its caller has left
		}
		held, is := k.state.Leases[a.Name]
		switch {
		case !led:
			k.reply(id, Response{Err: ErrNotLeader})
		case !is || held.Holder != a.Holder || k.moving[a.Name] || a.Operation == OpRenew && held.Token != a.Token:
			k.reply(id, Response{Err: ErrLeaseExpired}) // it was released or ran out meanwhile
		default:
			k.ends[a.Name] = max(k.ends[a.Name], now+k.long)
			k.reply(id, Response{Token: held.Token, Holder: held.Holder, Duration: k.length})
		}
	}
	k.wake(now)
	k.confirm()
}

// line puts a claimant in line, at the place that it has or at the end.
func (k *Manager) line(now Time, id uint64, a Request) {
	held := k.state.Leases[a.Name]
	line := k.lines[a.Name]
	at := slices.IndexFunc(line, func(w waiter) bool { return w.holder == a.Holder })
	free := held.Token == 0 && !k.moving[a.Name] && len(line) == 0
	switch {
	case at < 0 && !free && a.Wait <= 0:
		k.host.Respond(id, Response{Token: held.Token, Holder: held.Holder, Err: ErrHeld})
		return
	case at < 0 && len(line) >= waitersMost:
		k.host.Respond(id, Response{Err: ErrLimitExceeded})
		return
	case at < 0:
		line = append(line, waiter{holder: a.Holder})
		at = len(line) - 1
	case line[at].id != 0:
		k.reply(line[at].id, Response{Err: ErrWithdrawn}) // the same claimant asks anew
	}
	until := now + min(max(a.Wait, 0), k.length/gracePart)
	k.asks[id] = asking{a, until}
	line[at].id, line[at].until = id, until
	k.lines[a.Name] = line
	k.next(now, a.Name)
	k.wake(now)
}

// next grants a free name to the first in line who is asking now.
func (k *Manager) next(now Time, name string) {
	if _, held := k.state.Leases[name]; held || k.moving[name] || !k.leads {
		return
	}
	line := k.lines[name]
	at := slices.IndexFunc(line, func(w waiter) bool { return w.id != 0 })
	if at < 0 {
		return
	}
	w := line[at]
	if k.lines[name] = slices.Delete(line, at, at+1); len(k.lines[name]) == 0 {
		delete(k.lines, name)
	}
	k.moving[name] = true
	k.propose(Entry{Kind: KindGrant, Term: k.reign, Name: name, Holder: w.holder}, w.id)
}

// end frees a name. From here on nothing renews it.
func (k *Manager) end(name string, token, id uint64) {
	k.moving[name] = true
	k.propose(Entry{Kind: KindRevoke, Term: k.reign, Name: name, Token: token}, id)
}

func (k *Manager) propose(e Entry, id uint64) {
	e.Version = versionOf(e.Kind)
	k.refs++
	k.out[k.refs] = proposal{e, id}
	k.host.Propose(k.refs, e)
}

// Applied tells what one of our proposals came to. lost says that it may yet be applied or not: only the next leader, who
// may be we, knows.
func (k *Manager) Applied(now Time, ref uint64, r Result, lost bool) {
	p, ours := k.out[ref]
	if !ours {
		return
	}
	delete(k.out, ref)
	if lost || errors.Is(r.Err, ErrStaleTerm) {
		k.reply(p.id, Response{Err: ErrNotLeader})
		return // the name stays as moving: the reign is over, and Deposed or Led comes
	}
	name := p.entry.Name
	switch p.entry.Kind {
	case KindGrant:
		delete(k.moving, name)
		if r.Err != nil {
			k.reply(p.id, Response{Token: r.Token, Err: r.Err})
			break
		}
		k.ends[name] = now + k.long
		if _, asks := k.asks[p.id]; asks {
			k.reply(p.id, Response{Token: r.Token, Holder: p.entry.Holder, Duration: k.length})
		} else {
			k.end(name, r.Token, 0) // its caller has left without having heard of it
		}
	case KindRevoke:
		delete(k.moving, name)
		delete(k.ends, name)
		k.reply(p.id, Response{Err: r.Err})
	case KindEffect:
		k.reply(p.id, Response{Token: r.Token, Err: r.Err})
	}
	k.next(now, name)
	k.wake(now)
}

// CallerGone tells that the caller of an asking has gone. A waiter keeps its place for a while: it may ask again elsewhere.
func (k *Manager) CallerGone(now Time, id uint64) {
	a, out := k.asks[id]
	if !out {
		return
	}
	delete(k.asks, id)
	k.detach(now, a.Name, id)
}

func (k *Manager) detach(now Time, name string, id uint64) {
	for i, w := range k.lines[name] {
		if w.id == id {
			k.lines[name][i].id, k.lines[name][i].until = 0, now+k.length/gracePart
		}
	}
}

// Alarm comes at or after a time asked for with Wake.
func (k *Manager) Alarm(now Time) {
	if !k.leads {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(k.ends)) {
		if now >= k.ends[name] && !k.moving[name] {
			if held, is := k.state.Leases[name]; is {
				k.end(name, held.Token, 0)
			} else {
				delete(k.ends, name)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(k.lines)) {
		for _, w := range slices.Clone(k.lines[name]) {
			if now < w.until {
				continue
			}
			if w.id == 0 {
				k.lines[name] = slices.DeleteFunc(k.lines[name], func(o waiter) bool { return o.holder == w.holder })
				continue
			}
			held := k.state.Leases[name]
			k.detach(now, name, w.id)
			k.reply(w.id, Response{Token: held.Token, Holder: held.Holder, Err: ErrStillHeld})
		}
		if len(k.lines[name]) == 0 {
			delete(k.lines, name)
		}
	}
	k.wake(now)
}

// wake asks for the next alarm.
func (k *Manager) wake(now Time) {
	at, any := Time(0), false
	sooner := func(t Time) {
		if !any || t < at {
			at, any = t, true
		}
	}
	for name, t := range k.ends {
		if !k.moving[name] {
			sooner(t)
		}
	}
	for _, line := range k.lines {
		for _, w := range line {
			sooner(w.until)
		}
	}
	if any {
		k.host.SetAlarm(max(at, now))
	}
}
