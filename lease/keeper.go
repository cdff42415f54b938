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

// ErrWait says that the time to wait is over; who asks again soon keeps its place.
var ErrWait = errors.New("still held by another")

// ErrWithdrawn says that its own holder has taken an asking back.
var ErrWithdrawn = errors.New("taken back")

// The kinds of asking.
const (
	Acquire  = "acquire"
	Renew    = "renew"
	Release  = "release"
	Withdraw = "withdraw" // no longer waits for the name
	Do       = "do"       // an act inside the fleet
)

// Ask is what a claimant asks of the leader.
type Ask struct {
	Kind   string
	Name   string
	Holder Holder
	Token  uint64
	Wait   Time // how long to wait for a lease that is held, a third of a lease at most; 0: not at all
	Fact   string
	Number uint64
	Value  []byte
}

// Answer is what comes of it. With ErrHeld and ErrWait, Holder and Token are of who has the lease.
type Answer struct {
	Token  uint64
	Holder Holder
	Length Time // of a lease, as the leader takes it to be
	Err    error
}

// Host is all that a Keeper can do. None of the methods may block or call back.
type Host interface {
	// Propose brings an entry to the log; Applied tells how it went.
	Propose(ref uint64, e Entry)
	// Confirm begins a round to a majority that shows whether we still lead; Confirmed tells.
	Confirm(round uint64)
	// Answer ends an asking.
	Answer(id uint64, a Answer)
	// Wake asks for Alarm at that time or soon after.
	Wake(at Time)
}

type asking struct {
	Ask
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

// Keeper is the leader's memory: until when each lease runs, who waits, and what is under way. A new leader begins with
// nothing but the State, so it gives every lease its full length again. It is not safe for concurrent use.
type Keeper struct {
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

// Long is a lease's length as the granter counts it, by the bound on how unlike any two clocks run.
func Long(length Time, drift float64) Time { return length + Time(float64(length)*drift) + 1 }

// Short is its length as its holder counts it.
func Short(length Time, drift float64) Time { return length - Time(float64(length)*drift) - 1 }

// NewKeeper makes one that doesn't lead. length is the lease's, long what it is lengthened to.
func NewKeeper(host Host, state *State, length, long Time) *Keeper {
	k := &Keeper{host: host, state: state, length: length, long: long}
	k.Deposed()
	return k
}

// Led tells that this process leads, from an entry of this reign on that is applied.
func (k *Keeper) Led(now Time, reign uint64) {
	k.Deposed()
	k.leads, k.reign = true, reign
	for name := range k.state.Leases {
		k.ends[name] = now + k.long // the one before may have renewed it up to now
	}
	k.wake(now)
}

// Deposed tells that it leads no more, or may not: all that was kept in mind is void.
func (k *Keeper) Deposed() {
	for _, id := range slices.Sorted(maps.Keys(k.asks)) {
		k.host.Answer(id, Answer{Err: ErrNotLeader})
	}
	k.leads, k.round, k.renewals, k.inRound = false, 0, nil, nil
	k.ends, k.moving, k.lines = map[string]Time{}, map[string]bool{}, map[string][]waiter{}
	k.asks, k.out = map[uint64]asking{}, map[uint64]proposal{}
}

// Leads says whether it leads, as far as it knows.
func (k *Keeper) Leads() bool { return k.leads }

// Left gives until when a lease runs as it is known here, and how many wait for it.
func (k *Keeper) Left(name string) (end Time, waiting int) { return k.ends[name], len(k.lines[name]) }

// Ask takes an asking, under a number above 0 that is not out.
func (k *Keeper) Ask(now Time, id uint64, a Ask) {
	answer := func(x Answer) { k.host.Answer(id, x) }
	switch {
	case !k.leads:
		answer(Answer{Err: ErrNotLeader})
		return
	case len(k.asks) >= asksMost:
		answer(Answer{Err: ErrFull})
		return
	case !sound(a.Name) || a.Holder.Name == "":
		answer(Answer{Err: ErrForm})
		return
	}
	held, is := k.state.Leases[a.Name]
	mine := is && held.Holder == a.Holder && !k.moving[a.Name]
	switch a.Kind {
	case Acquire:
		if mine {
			k.renew(id, a)
			return
		}
		k.line(now, id, a)
	case Renew:
		if !mine || held.Token != a.Token {
			answer(Answer{Err: ErrLapsed})
			return
		}
		k.renew(id, a)
	case Release:
		if !mine || held.Token != a.Token {
			answer(Answer{Err: ErrLapsed})
			return
		}
		k.asks[id] = asking{Ask: a}
		k.end(a.Name, held.Token, id)
	case Withdraw:
		k.lines[a.Name] = slices.DeleteFunc(k.lines[a.Name], func(w waiter) bool {
			if w.holder == a.Holder && w.id != 0 {
				k.reply(w.id, Answer{Err: ErrWithdrawn})
			}
			return w.holder == a.Holder
		})
		answer(Answer{})
	case Do:
		k.asks[id] = asking{Ask: a}
		k.propose(Entry{Kind: Act, Name: a.Name, Token: a.Token, Fact: a.Fact, Number: a.Number, Value: a.Value}, id)
	default:
		answer(Answer{Err: ErrForm})
	}
}

// reply answers an asking that is out.
func (k *Keeper) reply(id uint64, a Answer) {
	if _, out := k.asks[id]; out {
		delete(k.asks, id)
		k.host.Answer(id, a)
	}
}

// renew waits for a round to a majority that begins from now on: one that is out already shows only that we led before.
func (k *Keeper) renew(id uint64, a Ask) {
	k.asks[id] = asking{Ask: a}
	k.renewals = append(k.renewals, id)
	k.confirm()
}

func (k *Keeper) confirm() {
	if k.round != 0 || len(k.renewals) == 0 {
		return
	}
	k.refs++
	k.round, k.inRound, k.renewals = k.refs, k.renewals, nil
	k.host.Confirm(k.round)
}

// Confirmed tells how a round went. Without a majority nothing is renewed.
func (k *Keeper) Confirmed(now Time, round uint64, led bool) {
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
			k.reply(id, Answer{Err: ErrNotLeader})
		case !is || held.Holder != a.Holder || k.moving[a.Name] || a.Kind == Renew && held.Token != a.Token:
			k.reply(id, Answer{Err: ErrLapsed}) // it was released or ran out meanwhile
		default:
			k.ends[a.Name] = max(k.ends[a.Name], now+k.long)
			k.reply(id, Answer{Token: held.Token, Holder: held.Holder, Length: k.length})
		}
	}
	k.wake(now)
	k.confirm()
}

// line puts a claimant in line, at the place that it has or at the end.
func (k *Keeper) line(now Time, id uint64, a Ask) {
	held := k.state.Leases[a.Name]
	line := k.lines[a.Name]
	at := slices.IndexFunc(line, func(w waiter) bool { return w.holder == a.Holder })
	free := held.Token == 0 && !k.moving[a.Name] && len(line) == 0
	switch {
	case at < 0 && !free && a.Wait <= 0:
		k.host.Answer(id, Answer{Token: held.Token, Holder: held.Holder, Err: ErrHeld})
		return
	case at < 0 && len(line) >= waitersMost:
		k.host.Answer(id, Answer{Err: ErrFull})
		return
	case at < 0:
		line = append(line, waiter{holder: a.Holder})
		at = len(line) - 1
	case line[at].id != 0:
		k.reply(line[at].id, Answer{Err: ErrWithdrawn}) // the same claimant asks anew
	}
	until := now + min(max(a.Wait, 0), k.length/gracePart)
	k.asks[id] = asking{a, until}
	line[at].id, line[at].until = id, until
	k.lines[a.Name] = line
	k.next(now, a.Name)
	k.wake(now)
}

// next grants a free name to the first in line who is asking now.
func (k *Keeper) next(now Time, name string) {
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
	k.propose(Entry{Kind: Grant, Reign: k.reign, Name: name, Holder: w.holder}, w.id)
}

// end frees a name. From here on nothing renews it.
func (k *Keeper) end(name string, token, id uint64) {
	k.moving[name] = true
	k.propose(Entry{Kind: End, Reign: k.reign, Name: name, Token: token}, id)
}

func (k *Keeper) propose(e Entry, id uint64) {
	e.Version = versionOf(e.Kind)
	k.refs++
	k.out[k.refs] = proposal{e, id}
	k.host.Propose(k.refs, e)
}

// Applied tells what one of our proposals came to. lost says that it may yet be applied or not: only the next leader, who
// may be we, knows.
func (k *Keeper) Applied(now Time, ref uint64, r Result, lost bool) {
	p, ours := k.out[ref]
	if !ours {
		return
	}
	delete(k.out, ref)
	if lost || errors.Is(r.Err, ErrReign) {
		k.reply(p.id, Answer{Err: ErrNotLeader})
		return // the name stays as moving: the reign is over, and Deposed or Led comes
	}
	name := p.entry.Name
	switch p.entry.Kind {
	case Grant:
		delete(k.moving, name)
		if r.Err != nil {
			k.reply(p.id, Answer{Token: r.Token, Err: r.Err})
			break
		}
		k.ends[name] = now + k.long
		if _, asks := k.asks[p.id]; asks {
			k.reply(p.id, Answer{Token: r.Token, Holder: p.entry.Holder, Length: k.length})
		} else {
			k.end(name, r.Token, 0) // its caller has left without having heard of it
		}
	case End:
		delete(k.moving, name)
		delete(k.ends, name)
		k.reply(p.id, Answer{Err: r.Err})
	case Act:
		k.reply(p.id, Answer{Token: r.Token, Err: r.Err})
	}
	k.next(now, name)
	k.wake(now)
}

// Gone tells that the caller of an asking has gone. A waiter keeps its place for a while: it may ask again elsewhere.
func (k *Keeper) Gone(now Time, id uint64) {
	a, out := k.asks[id]
	if !out {
		return
	}
	delete(k.asks, id)
	k.detach(now, a.Name, id)
}

func (k *Keeper) detach(now Time, name string, id uint64) {
	for i, w := range k.lines[name] {
		if w.id == id {
			k.lines[name][i].id, k.lines[name][i].until = 0, now+k.length/gracePart
		}
	}
}

// Alarm comes at or after a time asked for with Wake.
func (k *Keeper) Alarm(now Time) {
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
			k.reply(w.id, Answer{Token: held.Token, Holder: held.Holder, Err: ErrWait})
		}
		if len(k.lines[name]) == 0 {
			delete(k.lines, name)
		}
	}
	k.wake(now)
}

// wake asks for the next alarm.
func (k *Keeper) wake(now Time) {
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
		k.host.Wake(max(at, now))
	}
}
