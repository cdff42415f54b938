package lease

import (
	"cmp"
	"maps"
	"slices"
)

const (
	trialLeast  = 250 * Millisecond  // between two trials of a server at first, as a node by itself rests at first,
	trialMost   = 2000 * Millisecond // doubling to this, half of what a node waits by itself: one tries for all
	trialIn     = 1000 * Millisecond // a trial without a result by then is another's to make
	tellEvery   = 500 * Millisecond  // nodes with resting servers tell of them, and hear of trials, so often
	forgetAfter = 5000 * Millisecond // a server that nobody has told of for so long is none of ours
	boardMost   = 4096               // servers at once; more are each node's own
)

// ProbeScheduler is what the leader keeps in mind of servers that rest at some nodes: which to try next, and how the last trial
// went. Like all of its memory it ends with its reign; then the nodes tell anew, and meanwhile try for themselves. It is
// not safe for concurrent use.
type ProbeScheduler struct {
	servers map[string]*patient
	token   uint64 // the latest under which trials were told
}

type patient struct {
	address string
	told    Time // latest, by any node
	due     Time // the next trial, or when the one under way is given up
	wait    Time
	tried   bool
	well    bool
	under   bool // a trial is under way
}

// Probe is one to be made.
type Probe struct {
	ID      string `json:"ID"`
	Address string `json:"Address"`
}

// ProbeStatus is how the last trial of a server went. Next is when the one after it will have been told, from now on.
type ProbeStatus struct {
	ID        string `json:"ID"`
	Healthy   bool   `json:"Well"`
	NextProbe Time   `json:"Next"`
}

// NewProbeScheduler makes an empty one.
func NewProbeScheduler() *ProbeScheduler { return &ProbeScheduler{servers: map[string]*patient{}} }

// ReportEjected tells that a server rests at a node, and gives what is known of it.
func (b *ProbeScheduler) ReportEjected(now Time, id, address string) (n ProbeStatus, known bool) {
	p := b.servers[id]
	if p == nil {
		if len(b.servers) >= boardMost {
			return n, false
		}
		p = &patient{due: now, wait: trialLeast}
		b.servers[id] = p
	}
	if p.address != address { // it moved: what was seen is of another
		*p = patient{address: address, due: now, wait: trialLeast}
	}
	p.told = now
	if !p.tried {
		return n, false
	}
	return ProbeStatus{id, p.well, max(0, p.due-now) + trialIn + 2*tellEvery}, true
}

// DueProbes gives the trials to be made now, under the holder's token: an earlier holder is given none.
func (b *ProbeScheduler) DueProbes(now Time, token uint64) (all []Probe) {
	if token < b.token {
		return nil
	}
	b.token = token
	for _, id := range slices.SortedFunc(maps.Keys(b.servers), cmp.Compare[string]) {
		p := b.servers[id]
		switch {
		case now-p.told > forgetAfter:
			delete(b.servers, id)
		case now >= p.due:
			p.under, p.due = true, now+trialIn
			all = append(all, Probe{id, p.address})
		}
	}
	return all
}

// ReportResult takes what a trial came to. One that was given up, or is told under an old token, changes nothing.
func (b *ProbeScheduler) ReportResult(now Time, token uint64, id string, well bool) {
	p := b.servers[id]
	if p == nil || token < b.token || !p.under {
		return
	}
	if p.tried && p.well != well {
		p.wait = trialLeast
	}
	p.tried, p.well, p.under, p.due = true, well, false, now+p.wait
	p.wait = min(2*p.wait, trialMost)
}
