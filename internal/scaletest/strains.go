//go:build faults

package scaletest

import (
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faulttest"
)

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// loss lets all of a place go at once, and come back: its nodes' processes are killed, or for a restart told to leave, and its
// cache servers go from the list.
func (w *world) loss(what string) error {
	lost := map[int]bool{}
	for _, p := range w.hosts {
		at := w.PlaceOf(p.nodes[0])
		switch what {
		case Rack:
			lost[at.Rack] = lost[at.Rack] || at.Rack == 0
		case Zone, Restart:
			lost[at.Rack] = lost[at.Rack] || at.Zone == 0
		case Region:
			lost[at.Rack] = lost[at.Rack] || at.Region == 0
		}
	}
	var hosts []*process
	for rack, is := range lost {
		if is {
			hosts = append(hosts, w.hosts[rack])
		}
	}
	var gone []Entry
	for i, e := range w.entries[:w.Servers] {
		if at := w.PlaceOf(i); what != Restart && lost[at.Rack] {
			e.State = "Gone"
			gone = append(gone, e)
		}
	}
	before, err := w.afresh()
	if err != nil {
		return err
	}
	leads := w.leader()
	if what == Restart {
		_ = each(hosts, func(p *process) error { _, err := p.tell(order{Do: "leave"}); return err })
	}
	_ = each(hosts, func(p *process) error { p.end(syscall.SIGKILL); return nil })
	if what != Restart {
		c, err := w.change(gone)
		if err != nil {
			return err
		}
		w.sleep(lostFor)
		if err := w.add(); err != nil {
			return err
		}
		left := w.nodes(lost)
		w.told(what, "list in force at who is left", inForce([]Change{c}, byNode(w.marks), left, markList, lateMost))
		w.line("%s: %d nodes and %d cache servers lost at once", what, w.Nodes-len(left), len(gone))
	}
	from := faulttest.Boot()
	if err := each(hosts, func(p *process) error {
		if err := p.start(w.Program); err != nil {
			return err
		}
		_, err := p.tell(order{Do: "start", Nodes: p.nodes})
		return err
	}); err != nil {
		return err
	}
	var c Change
	if len(gone) > 0 {
		for i := range gone {
			gone[i].State, gone[i].Started = "Ready", float64(time.Now().UnixMilli())
		}
		if c, err = w.change(gone); err != nil {
			return err
		}
	}
	if err := w.recovered(what, from, recoverMost); err != nil {
		return err
	}
	if len(gone) > 0 {
		w.told(what, "list in force at its return", inForce([]Change{c}, byNode(w.marks), w.nodes(lost), markList, lateMost))
	}
	return w.strain(what, before, leads, hosts)
}

// strain tells what the roles that went on have used in a strain.
func (w *world) strain(what string, before map[*process]used, leads int, but []*process) error {
	after := map[*process]used{}
	for _, p := range w.all() {
		if _, had := before[p]; !had || slices.Contains(but, p) {
			continue
		}
		u, err := p.used()
		if err != nil {
			return err
		}
		after[p] = u
	}
	role := func(name string, p *process) {
		a, b := before[p], after[p]
		if a.at == 0 || b.at == 0 {
			return
		}
		span := float64(b.at-a.at) / float64(time.Second)
		cpu := 100 * float64(b.CPUBefore-a.CPUAfter) / float64(time.Second) / span
		out := 0.0
		for use, t := range b.Traffic {
			out += float64(t.Sent-a.Traffic[use].Sent) / span
		}
		w.point(what, name, "share of a core %", cpu)
		w.point(what, name, "bytes sent /s", out)
		w.line("%s: %s: %.3g%% of a core and %.4g bytes sent a second over %.1f s", what, name, cpu, out, span)
	}
	if leads >= 0 {
		role("leader", w.voters[leads])
	}
	role("discovery", w.discovery)
	if a, b := before[w.discovery].calls, after[w.discovery].calls; a != b {
		w.line("%s: discovery gave %d whole lists and %d of changes", what, b.Whole-a.Whole, b.Changes-a.Changes)
	}
	return nil
}

// cutOff lets a region reach nobody for a while: neither the voters nor discovery.
func (w *world) cutOff() error {
	before, err := w.afresh()
	if err != nil {
		return err
	}
	leads, region := w.leader(), map[int]bool{}
	for _, p := range w.hosts {
		if at := w.PlaceOf(p.nodes[0]); at.Region != 0 {
			region[at.Rack] = true
		}
	}
	inside := w.nodes(region)
	for _, r := range w.relays {
		r.Cut(true)
	}
	w.sleep(w.CutFor / 2)
	e := w.entries[0]
	e.Started = float64(time.Now().UnixMilli())
	c, err := w.change([]Entry{e}) // the others' side goes on
	if err != nil {
		return err
	}
	w.sleep(w.CutFor / 2)
	from := faulttest.Boot()
	for _, r := range w.relays {
		r.Cut(false)
	}
	var list, lease Times
	for end := time.Now().Add(recoverMost); ; w.sleep(200 * time.Millisecond) {
		if err := w.add(); err != nil {
			return err
		}
		of := byNode(w.marks)
		list = inForce([]Change{{from, c.N}}, of, inside, markList, recoverMost)
		lease = renewed(of, inside, from, recoverMost)
		if list.Missing+lease.Missing == 0 || !w.Has(Lease) && list.Missing == 0 || time.Now().After(end) || w.ctx.Err() != nil {
			break
		}
	}
	w.line("%s: %d nodes of a region reached nobody for %v", Cut, len(inside), w.CutFor)
	w.told(Cut, "list in force after the cut", list)
	if w.Has(Lease) {
		w.told(Cut, "lease renewed or had again after the cut", lease)
		w.renewalsLost(Cut)
	}
	return w.strain(Cut, before, leads, nil)
}

func (w *world) renewalsLost(what string) {
	lost := 0
	for _, m := range w.marks {
		if m.What == markLost {
			lost++
		}
	}
	w.point(what, "node", "leases lost", float64(lost))
	w.line("%s: leases lost %d", what, lost)
}

// outage lets discovery be away for a while, and come back with everybody calling.
func (w *world) outage() error {
	before, err := w.afresh()
	if err != nil {
		return err
	}
	leads := w.leader()
	if _, err := w.discovery.tell(order{Do: "close"}); err != nil {
		return err
	}
	w.sleep(lostFor / 2)
	e := w.entries[0]
	e.Started = float64(time.Now().UnixMilli())
	c, err := w.change([]Entry{e})
	if err != nil {
		return err
	}
	w.sleep(lostFor / 2)
	back, err := w.discovery.tell(order{Do: "open again"})
	if err != nil {
		return err
	}
	var list Times
	for end := time.Now().Add(recoverMost); ; w.sleep(200 * time.Millisecond) {
		if err := w.add(); err != nil {
			return err
		}
		list = inForce([]Change{{back.At, c.N}}, byNode(w.marks), w.nodes(nil), markList, recoverMost)
		if list.Missing == 0 || time.Now().After(end) || w.ctx.Err() != nil {
			break
		}
	}
	w.told(Discovery, fmt.Sprintf("list in force after an outage of %v", lostFor), list)
	return w.strain(Discovery, before, leads, nil)
}

// deposed kills whoever leads, and lets it come back once others have gone on.
func (w *world) deposed() error {
	leads := w.leader()
	if leads < 0 {
		return fmt.Errorf("nobody leads")
	}
	before, err := w.afresh()
	if err != nil {
		return err
	}
	from := faulttest.Boot()
	w.voters[leads].end(syscall.SIGKILL)
	var lease Times
	for end := time.Now().Add(recoverMost); ; w.sleep(200 * time.Millisecond) {
		if err := w.add(); err != nil {
			return err
		}
		lease = renewed(byNode(w.marks), w.nodes(nil), from, recoverMost)
		if lease.Missing == 0 || time.Now().After(end) || w.ctx.Err() != nil {
			break
		}
	}
	w.told(Leader, "lease renewed or had again", lease)
	w.renewalsLost(Leader)
	if err := w.strain(Leader, before, w.leader(), []*process{w.voters[leads]}); err != nil {
		return err
	}
	return w.voters[leads].start(w.Program)
}
