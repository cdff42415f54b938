package scaletest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/quick"
	"time"

	"pgregory.net/rapid"

	"github.com/thistlerudder/thistlerudder/lease"
)

func TestWhatIsPlayedIsReadAndRefusedByName(t *testing.T) {
	for _, c := range []struct{ what, refused string }{
		{"list", ""},
		{"list, lease,budget,configuration,churn,restart", ""},
		{"list,purge", "no mechanism carries purges today"},
		{"list,gossip", `not "gossip"`},
		{"lease", "expected list"},
		{"list,budget", "expected lease"},
		{"list,leader", "expected lease"},
	} {
		_, err := Parse(c.what)
		if (err == nil) != (c.refused == "") || err != nil && !strings.Contains(err.Error(), c.refused) {
			t.Errorf("%s: %v, want %q", c.what, err, c.refused)
		}
	}
}

// A plan that doesn't fit is refused, and the number told is the largest that does.
func TestARefusalTellsTheMostThatFits(t *testing.T) {
	would := regexp.MustCompile(`; (\d+) would fit$`)
	rapid.Check(t, func(t *rapid.T) {
		p := Plan{Nodes: rapid.IntRange(8, 100_000).Draw(t, "nodes"), Real: rapid.IntRange(0, 20).Draw(t, "real"),
			Servers: rapid.IntRange(1, 6000).Draw(t, "servers"), Span: 10 * time.Second, Faster: 100, FileKB: rapid.IntRange(0, 100).Draw(t, "file"),
			What: []string{List}}
		if rapid.Bool().Draw(t, "lease") {
			p.What = append(p.What, Lease)
		}
		r := Room{rapid.Int64Range(2<<30, 64<<30).Draw(t, "memory"), rapid.IntRange(1024, 50_000).Draw(t, "descriptors")}
		err := p.Fits(r)
		if (err == nil) != (p.lacks(r) == "") {
			t.Fatalf("%v, but %q", err, p.lacks(r))
		}
		if err == nil {
			return
		}
		m := would.FindStringSubmatch(err.Error())
		if m == nil {
			if !strings.Contains(err.Error(), "no number") {
				t.Fatal(err)
			}
			return
		}
		asked := p.Nodes
		if p.Nodes, _ = strconv.Atoi(m[1]); p.lacks(r) != "" || p.Nodes >= asked {
			t.Fatalf("%v: that doesn't fit either: %s", err, p.lacks(r))
		}
		if p.Nodes++; p.lacks(r) == "" {
			t.Fatalf("%v: one more would fit too", err)
		}
	})
	for _, p := range []Plan{{Nodes: 1, Servers: 1}, {Nodes: 100}, {Nodes: 100, Servers: 1, Span: time.Hour}, {Nodes: 100, Servers: 1, Span: time.Second},
		{Nodes: 100, Servers: 1, Span: time.Second, Faster: 1, FileKB: 1 << 20}} {
		if p.Fits(Room{64 << 30, 1 << 20}) == nil {
			t.Errorf("%+v is taken", p)
		}
	}
}

// The wall of the leases that are held at once is told by name, with the number of nodes that fits, and only where there are leases.
func TestTheLeasesBoundAFleet(t *testing.T) {
	for _, c := range []struct{ real, fit int }{{0, 4091}, {6, 4085}} { // three voters and two tasks hold one each, and real nodes
		p := Plan{Nodes: c.fit + 1, Real: c.real, Servers: 100, Span: time.Second, Faster: 1, What: []string{List, Lease}}
		r := Room{64 << 30, 20_000}
		if err := p.Fits(r); err == nil || !strings.Contains(err.Error(), "namesMost") || !strings.Contains(err.Error(), fmt.Sprintf("; %d would fit", c.fit)) {
			t.Error(err)
		}
		p.Nodes = c.fit
		if err := p.Fits(r); err != nil {
			t.Error(err)
		}
		p.Nodes, p.What = 5000, []string{List}
		if err := p.Fits(r); err != nil {
			t.Error(err)
		}
	}
	s := lease.NewState()
	apply := func(kind, name string) error {
		return s.Apply(lease.Entry{Version: 1, Kind: kind, Name: name, Holder: lease.Holder{Name: name}}).Err
	}
	if err := apply(lease.KindFoundCluster, "f"); err != nil {
		t.Fatal(err)
	}
	for i := range namesMost {
		if err := apply(lease.KindGrant, fmt.Sprint("node/", i)); err != nil {
			t.Fatalf("lease %d: %v", i, err)
		}
	}
	if err := apply(lease.KindGrant, "node/more"); !errors.Is(err, lease.ErrLimitExceeded) {
		t.Errorf("%d leases are held, and one more: %v", namesMost, err)
	}
}

// The voters' descriptors bound a fleet where a process may have few: half of what is left is for the leader's connections.
func TestTheVotersDescriptorsBoundAFleet(t *testing.T) {
	p := Plan{Nodes: 1000, Real: 2, Servers: 100, Span: time.Second, Faster: 1, What: []string{List, Lease}}
	need := 2*(1000+2+36) + 64
	if err := p.Fits(Room{64 << 30, need}); err != nil {
		t.Error(err)
	}
	if err := p.Fits(Room{64 << 30, need - 1}); err == nil || !strings.Contains(err.Error(), "descriptors in one process") || !strings.Contains(err.Error(), "; 999 would fit") {
		t.Error(err)
	}
	if few, many := p.voterSockets(need), p.voterSockets(20_000); few != need || many != 2*(1000+2+36)+512 {
		t.Errorf("a voter's file has %d and %d", few, many)
	}
	p.What = []string{List}
	if err := p.Fits(Room{64 << 30, need - 1}); err != nil {
		t.Error(err)
	}
}

// What is estimated before a run may be wrong, so the run itself is held to the bounds as well.
func TestARunThatGrowsBeyondItsBoundsIsEnded(t *testing.T) {
	if err := errors.Join(beyond(12<<30, 200), beyond(0, 1)); err != nil {
		t.Error(err)
	}
	if beyond(12<<30+1, 1) == nil || beyond(0, 201) == nil {
		t.Error("it goes on")
	}
}

func TestMachinesStandInAllPlaces(t *testing.T) {
	for _, n := range []int{8, 25, 150, 800, 2000, 5000} {
		p := Plan{Nodes: n}
		seen := map[Place]int{}
		for i := range n {
			seen[p.PlaceOf(i)]++
		}
		regions := map[int]bool{}
		for at, in := range seen {
			regions[at.Region] = true
			if least := n / (p.Zones() * racksZone); in < least || in > least+1 {
				t.Errorf("%d nodes: %d stand in %v", n, in, at)
			}
		}
		if len(seen) != min(n, p.Zones()*racksZone) || len(regions) != p.Regions() {
			t.Errorf("%d nodes: %d racks, %d regions", n, len(seen), len(regions))
		}
	}
}

// Events are the seed's, lie inside their phase in order, and come at the operators' rates times the factor.
func TestEventsComeAtTheirRates(t *testing.T) {
	count := func(all []Event, kind string) (n int) {
		for i, e := range all {
			if i > 0 && e.At < all[i-1].At {
				t.Fatalf("%v after %v", e, all[i-1])
			}
			if e.Kind == kind {
				n++
			}
		}
		return n
	}
	p := Plan{Nodes: 100, Servers: 30, Span: 10 * time.Minute, Seed: 7, Faster: 100, What: []string{List, Lease, Budget, Configuration, Churn}}
	peace, churn := p.peace(), p.churn()
	if !slices.Equal(peace, p.peace()) || !slices.Equal(churn, p.churn()) {
		t.Error("the same seed gives other events")
	}
	for _, all := range [][]Event{peace, churn} {
		for _, e := range all {
			most := map[string]int{entryChanges: p.changing(), nodeRestarts: p.Nodes}[e.Kind]
			if e.At < 0 || e.At >= p.Span || e.Index < 0 || e.Index >= max(1, most) {
				t.Fatalf("%+v", e)
			}
		}
	}
	if n := count(peace, fileChanges); n != 84 { // 12,000 a day in ten minutes
		t.Errorf("%d changes of configuration", n)
	}
	if n := count(peace, nodeRestarts); n != 0 {
		t.Errorf("%d restarts in peace", n)
	}
	entries, nodes := float64(count(churn, entryChanges)), float64(count(churn, nodeRestarts))
	if all := 2126.0 / 144 * 100; math.Abs(entries+nodes-all) > 5*math.Sqrt(all) {
		t.Errorf("%g machines came and went, want %g", entries+nodes, all)
	}
	if share := entries / (entries + nodes); math.Abs(share-5700.0/24700) > 0.06 {
		t.Errorf("%g of them are servers", share)
	}
	p.Seed++
	if slices.Equal(churn, p.churn()) {
		t.Error("another seed gives the same events")
	}
}

// Least squares finds a line again, and its residuals are at right angles to it.
func TestALineIsFoundAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, slope := rapid.Float64Range(-1e3, 1e3).Draw(t, "base"), rapid.Float64Range(-10, 10).Draw(t, "slope")
		var at, exact, noisy []float64
		for i, x := range rapid.SliceOfNDistinct(rapid.IntRange(1, 20_000), 3, 12, rapid.ID[int]).Draw(t, "sizes") {
			at = append(at, float64(x))
			exact = append(exact, base+slope*float64(x))
			noisy = append(noisy, exact[i]+rapid.Float64Range(-50, 50).Draw(t, "noise"))
		}
		b, s, _, r2 := leastSquares(at, exact)
		if math.Abs(s-slope) > 1e-6*(1+math.Abs(slope)) || math.Abs(b-base) > 1e-4*(1+math.Abs(base)+math.Abs(slope)*20_000) || r2 < 0.999 && slope != 0 && math.Abs(slope) > 1e-6 {
			t.Fatalf("%g + %g x, want %g + %g x, R2 %g", b, s, base, slope, r2)
		}
		_, _, left, _ := leastSquares(at, noisy)
		sum, turn, scale := 0.0, 0.0, 0.0
		for i, r := range left {
			sum += r
			turn += r * at[i]
			scale += math.Abs(r*at[i]) + math.Abs(noisy[i]*at[i])
		}
		if math.Abs(sum) > 1e-6*(1+scale) || math.Abs(turn) > 1e-6*(1+scale) {
			t.Fatalf("residuals add up to %g, and %g with their sizes", sum, turn)
		}
	})
}

func TestPointsComeBackAndFiguresOfTooFewSizesHaveNoLine(t *testing.T) {
	var points []Point
	for i, n := range []int{25, 60, 150, 350, 800} {
		points = append(points, Point{n, 2, n / 3, 1, "peace", "leader", "share of a core %", 2 + 0.01*float64(n)},
			Point{n, 2, n / 3, 1, "peace", "node", "descriptors", 7})
		if i < 2 {
			points = append(points, Point{n, 2, n / 3, 1, "churn", "node", "descriptors", 7})
		}
	}
	var b bytes.Buffer
	if err := Write(&b, points[:3], true); err != nil {
		t.Fatal(err)
	}
	if err := Write(&b, points[3:], false); err != nil {
		t.Fatal(err)
	}
	back, err := ReadPoints(&b)
	if err != nil || !reflect.DeepEqual(points, back) {
		t.Fatalf("%v: %v", err, back)
	}
	slices.Reverse(back[2:6])
	lines := Lines(back, false)
	if !slices.IsSorted(lines[0].At) {
		t.Errorf("%v", lines[0].At)
	}
	if len(lines) != 2 || math.Abs(lines[0].Slope-0.01) > 1e-9 || math.Abs(lines[0].Value(19_000)-192) > 1e-6 || lines[0].Worst() > 1e-9 ||
		lines[1].Slope != 0 || lines[1].R2 != 1 {
		t.Errorf("%+v", lines)
	}
	if by := Lines(back, true); math.Abs(by[0].At[4]-266) > 0 {
		t.Errorf("%+v", by)
	}
	if _, err := ReadPoints(strings.NewReader("1,2,3,4,a,b,c,x\n")); err == nil {
		t.Error("a figure that is none is taken")
	}
}

// The last node counts, what was down is left out, and what never came is missing.
func TestTimesAreThoseOfTheLastNode(t *testing.T) {
	ms := int64(time.Millisecond)
	s := 1000 * ms
	marks := []Mark{{0, markStart, 0, 0}, {0, markList, 1 * ms, 1}, {1, markStart, 0, 0}, {1, markList, 2 * ms, 1}, {2, markStart, 0, 0}, {2, markList, 2 * ms, 1},
		{0, markList, 20*s + 3*ms, 2}, {1, markList, 20*s + 9*ms, 2}, {2, markList, 20*s + 4*ms, 2}, // a change at 20 s
		{2, markStart, 30*s + 50*ms, 0}, {0, markList, 30*s + 5*ms, 3}, {1, markList, 30*s + 40*ms, 4}, // one at 30 s, which 1 has only with the next
		{2, markList, 30*s + 60*ms, 4}}
	of := byNode(marks)
	got := inForce([]Change{{20 * s, 2}, {30 * s, 3}}, of, []int{0, 1, 2}, markList, time.Second)
	if got.Missing != 0 || got.Each.TotalCount() != 5 || got.Last.TotalCount() != 2 {
		t.Fatalf("%d, %d, %d missing", got.Each.TotalCount(), got.Last.TotalCount(), got.Missing)
	}
	if worst, first := got.Last.Max(), got.Last.Min(); worst < 39_900 || worst > 40_100 || first < 8_990 || first > 9_010 {
		t.Errorf("%d and %d us", first, worst)
	}
	if late := inForce([]Change{{20 * s, 5}}, of, []int{0, 1, 2}, markList, time.Minute); late.Missing != 3 {
		t.Errorf("%d missing, of a version that none has", late.Missing)
	}
	if late := inForce([]Change{{20 * s, 2}}, of, []int{0, 1, 2}, markList, 5*time.Millisecond); late.Missing != 1 {
		t.Errorf("%d late", late.Missing)
	}
	start := sinceStart(of, []int{0, 1, 2}, 30*s, markList, time.Second)
	if start.Each.TotalCount() != 1 || start.Each.Max() < 9_990 || start.Each.Max() > 10_010 {
		t.Errorf("%d, %d us", start.Each.TotalCount(), start.Each.Max())
	}
	if start := sinceStart(of, []int{0, 1, 2}, 30*s, markHeld, time.Second); start.Missing != 1 {
		t.Errorf("%d have no lease", start.Missing)
	}
	// A renewal whose asking was sent before the loss tells nothing.
	lease := byNode([]Mark{{0, markRenews, 10*s + 5*ms, 6 * ms}, {0, markRenews, 11 * s, 2 * ms}, {1, markHeld, 12 * s, ms}})
	if got := renewed(lease, []int{0, 1}, 10*s, time.Minute); got.Missing != 0 || got.Each.Min() < 999_000 || got.Last.Max() < 1_999_000 {
		t.Errorf("%d missing, %d to %d us", got.Missing, got.Each.Min(), got.Last.Max())
	}
}

func TestTheFactorIsOfTheOperatorsWholeFleet(t *testing.T) {
	// 2,126 machines a day, 5,700 of 24,700 of them servers: one each 176 s.
	if r := Ratio(time.Second); math.Abs(r-176.1) > 0.1 {
		t.Error(r)
	}
}

// The stand-in of discovery gives what the node's follower expects: all, what has changed since, nothing, all again.
func TestTheDirectoryTellsWhatHasChanged(t *testing.T) {
	var entries []Entry
	for i := range 5 {
		entries = append(entries, Entry{ID: fmt.Sprint("c", i), Address: "127.0.0.1:1", Kind: "box", State: "Ready", Region: "r", Zone: "z"})
	}
	d := NewDirectory(entries)
	s := httptest.NewServer(d)
	defer s.Close()
	get := func(query string) (p page) {
		t.Helper()
		resp, err := http.Get(s.URL + query)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
			t.Fatal(err)
		}
		return p
	}
	if p := get("/"); !p.Full || p.Version != 1 || !reflect.DeepEqual(p.Servers, entries) {
		t.Fatalf("%+v", p)
	}
	if p := get("/?from=1&hold_ms=1"); p.Full || p.Version != 1 || len(p.Servers) != 0 {
		t.Fatalf("nothing has changed: %+v", p)
	}
	held := make(chan page)
	go func() { held <- get("/?from=1&hold_ms=10000") }()
	time.Sleep(20 * time.Millisecond)
	gone := entries[2]
	gone.State = "Gone"
	if v := d.Change([]Entry{gone, {ID: "unknown"}}); v != 2 {
		t.Fatal(v)
	}
	if p := <-held; p.Full || p.Version != 2 || len(p.Servers) != 1 || p.Servers[0] != gone {
		t.Fatalf("%+v", p)
	}
	if p := get("/"); len(p.Servers) != 4 {
		t.Fatalf("who has gone is on the list: %+v", p)
	}
	d.Change([]Entry{entries[2]})
	d.Change([]Entry{entries[3]})
	if p := get("/?from=1&hold_ms=1"); p.Full || p.Version != 4 || len(p.Servers) != 2 || p.Servers[0] != entries[2] {
		t.Fatalf("three versions at once, each entry as it is now: %+v", p)
	}
	if p := get("/?from=9&hold_ms=1"); !p.Full || p.Version != 4 {
		t.Fatalf("a version that never was: %+v", p)
	}
	for range changesKept + 1 {
		d.Change(entries[:1])
	}
	if p := get("/?from=2&hold_ms=1"); !p.Full || len(p.Servers) != 5 {
		t.Fatalf("too far behind: %+v", p)
	}
	if c := d.Calls(); c.Whole != 4 || c.Changes != 2 || c.Empty != 1 {
		t.Fatalf("%+v", c)
	}
}

// Whoever follows the changes, by whatever steps, comes to the list as it is.
func TestChangesAddUpToTheWhole(t *testing.T) {
	if err := quick.Check(func(steps []uint8) bool {
		var entries []Entry
		for i := range 6 {
			entries = append(entries, Entry{ID: fmt.Sprint("c", i), State: "Ready"})
		}
		d := NewDirectory(entries)
		have, version := map[string]string{}, int64(0)
		take := func(b []byte) {
			var p page
			_ = json.Unmarshal(b, &p)
			if p.Full {
				clear(have)
			}
			for _, e := range p.Servers {
				if have[e.ID] = e.State; e.State == "Gone" {
					delete(have, e.ID)
				}
			}
			version = p.Version
		}
		look := func() {
			d.mu.Lock()
			b := d.news(version)
			d.mu.Unlock()
			if b != nil {
				take(b)
			}
		}
		take(d.all())
		for _, s := range steps {
			e := entries[int(s)%len(entries)]
			e.State = []string{"Ready", "Terminating", "Gone"}[int(s)/len(entries)%3]
			if d.Change([]Entry{e}); s%5 == 0 {
				look()
			}
		}
		look()
		mine := map[string]string{}
		for id, e := range d.entries {
			if e.State != "Gone" {
				mine[id] = e.State
			}
		}
		return reflect.DeepEqual(have, mine) && version == d.version
	}, nil); err != nil {
		t.Error(err)
	}
}
