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

func TestParseScenariosRejectsInvalidLists(t *testing.T) {
	for _, c := range []struct{ list, wantErr string }{
		{"list", ""},
		{"list, lease,budget,configuration,churn,restart", ""},
		{"list,purge", "no mechanism carries purges today"},
		{"list,gossip", `not "gossip"`},
		{"lease", "expected list"},
		{"list,budget", "expected lease"},
		{"list,leader", "expected lease"},
	} {
		_, err := ParseScenarios(c.list)
		if (err == nil) != (c.wantErr == "") || err != nil && !strings.Contains(err.Error(), c.wantErr) {
			t.Errorf("%s: %v, want %q", c.list, err, c.wantErr)
		}
	}
}

// A plan that does not fit is rejected, and the error names the largest number of nodes that fits.
func TestCheckFitsReportsLargestFittingNodeCount(t *testing.T) {
	fittingNodes := regexp.MustCompile(`; (\d+) would fit$`)
	rapid.Check(t, func(t *rapid.T) {
		p := Plan{HollowNodes: rapid.IntRange(8, 100_000).Draw(t, "nodes"), RealNodes: rapid.IntRange(0, 20).Draw(t, "real"),
			CacheServers: rapid.IntRange(1, 6000).Draw(t, "servers"), PhaseDuration: 10 * time.Second, ChurnFactor: 100, ConfigFileKB: rapid.IntRange(0, 100).Draw(t, "file"),
			Scenarios: []string{ScenarioList}}
		if rapid.Bool().Draw(t, "lease") {
			p.Scenarios = append(p.Scenarios, ScenarioLease)
		}
		available := Resources{rapid.Int64Range(2<<30, 64<<30).Draw(t, "memory"), rapid.IntRange(1024, 50_000).Draw(t, "descriptors")}
		err := p.CheckFits(available)
		if (err == nil) != (p.exceededLimit(available) == "") {
			t.Fatalf("%v, but %q", err, p.exceededLimit(available))
		}
		if err == nil {
			return
		}
		match := fittingNodes.FindStringSubmatch(err.Error())
		if match == nil {
			if !strings.Contains(err.Error(), "no number") {
				t.Fatal(err)
			}
			return
		}
		requested := p.HollowNodes
		if p.HollowNodes, _ = strconv.Atoi(match[1]); p.exceededLimit(available) != "" || p.HollowNodes >= requested {
			t.Fatalf("%v: the reported number of nodes does not fit: %s", err, p.exceededLimit(available))
		}
		if p.HollowNodes++; p.exceededLimit(available) == "" {
			t.Fatalf("%v: one node more would also fit", err)
		}
	})
	for _, p := range []Plan{{HollowNodes: 1, CacheServers: 1}, {HollowNodes: 100}, {HollowNodes: 100, CacheServers: 1, PhaseDuration: time.Hour}, {HollowNodes: 100, CacheServers: 1, PhaseDuration: time.Second},
		{HollowNodes: 100, CacheServers: 1, PhaseDuration: time.Second, ChurnFactor: 1, ConfigFileKB: 1 << 20}} {
		if p.CheckFits(Resources{64 << 30, 1 << 20}) == nil {
			t.Errorf("invalid plan %+v is accepted", p)
		}
	}
}

// The limit on leases bounds the number of nodes only if the plan includes leases. The error names the limit and the number of nodes
// that fits.
func TestCheckFitsEnforcesLeaseLimit(t *testing.T) {
	for _, c := range []struct{ realNodes, fittingNodes int }{{0, 4091}, {6, 4085}} { // three voters, two tasks and each real node hold a lease
		p := Plan{HollowNodes: c.fittingNodes + 1, RealNodes: c.realNodes, CacheServers: 100, PhaseDuration: time.Second, ChurnFactor: 1, Scenarios: []string{ScenarioList, ScenarioLease}}
		available := Resources{64 << 30, 20_000}
		if err := p.CheckFits(available); err == nil || !strings.Contains(err.Error(), "maxLeases") || !strings.Contains(err.Error(), fmt.Sprintf("; %d would fit", c.fittingNodes)) {
			t.Error(err)
		}
		p.HollowNodes = c.fittingNodes
		if err := p.CheckFits(available); err != nil {
			t.Error(err)
		}
		p.HollowNodes, p.Scenarios = 5000, []string{ScenarioList}
		if err := p.CheckFits(available); err != nil {
			t.Error(err)
		}
	}
	state := lease.NewState()
	apply := func(kind, name string) error {
		return state.Apply(lease.Entry{Version: 1, Kind: kind, Name: name, Holder: lease.Holder{Name: name}}).Err
	}
	if err := apply(lease.KindFoundCluster, "f"); err != nil {
		t.Fatal(err)
	}
	for i := range maxLeases {
		if err := apply(lease.KindGrant, fmt.Sprint("node/", i)); err != nil {
			t.Fatalf("lease %d: %v", i, err)
		}
	}
	if err := apply(lease.KindGrant, "node/more"); !errors.Is(err, lease.ErrLimitExceeded) {
		t.Errorf("grant beyond %d leases: %v", maxLeases, err)
	}
}

// The descriptor limit of a process bounds the number of nodes: half of the leader's descriptors without the reserve is for the
// connections of the nodes.
func TestCheckFitsEnforcesVoterDescriptorLimit(t *testing.T) {
	p := Plan{HollowNodes: 1000, RealNodes: 2, CacheServers: 100, PhaseDuration: time.Second, ChurnFactor: 1, Scenarios: []string{ScenarioList, ScenarioLease}}
	required := 2*(1000+2+36) + 64
	if err := p.CheckFits(Resources{64 << 30, required}); err != nil {
		t.Error(err)
	}
	if err := p.CheckFits(Resources{64 << 30, required - 1}); err == nil || !strings.Contains(err.Error(), "descriptors in one process") || !strings.Contains(err.Error(), "; 999 would fit") {
		t.Error(err)
	}
	if atMinimum, withSurplus := p.voterSocketLimit(required), p.voterSocketLimit(20_000); atMinimum != required || withSurplus != 2*(1000+2+36)+512 {
		t.Errorf("voterSocketLimit returned %d and %d", atMinimum, withSurplus)
	}
	p.Scenarios = []string{ScenarioList}
	if err := p.CheckFits(Resources{64 << 30, required - 1}); err != nil {
		t.Error(err)
	}
}

// The estimate before a run may be wrong, so a run is also checked against the limits on memory and processes while it goes on.
func TestCheckRunLimitsRejectsExcessMemoryAndProcesses(t *testing.T) {
	if err := errors.Join(checkRunLimits(12<<30, 200), checkRunLimits(0, 1)); err != nil {
		t.Error(err)
	}
	if checkRunLimits(12<<30+1, 1) == nil || checkRunLimits(0, 201) == nil {
		t.Error("a run over the limits is accepted")
	}
}

func TestPlaceOfSpreadsMachinesEvenly(t *testing.T) {
	for _, n := range []int{8, 25, 150, 800, 2000, 5000} {
		p := Plan{HollowNodes: n}
		machinesByPlace := map[Place]int{}
		for i := range n {
			machinesByPlace[p.PlaceOf(i)]++
		}
		regions := map[int]bool{}
		for place, machines := range machinesByPlace {
			regions[place.Region] = true
			if minPerRack := n / (p.Zones() * racksPerZone); machines < minPerRack || machines > minPerRack+1 {
				t.Errorf("%d nodes: %d in %v", n, machines, place)
			}
		}
		if len(machinesByPlace) != min(n, p.Zones()*racksPerZone) || len(regions) != p.Regions() {
			t.Errorf("%d nodes: %d racks, %d regions", n, len(machinesByPlace), len(regions))
		}
	}
}

// Scheduled changes depend only on the seed, are in order within their phase, and have the operators' rates times the factor.
func TestScheduledChangesFollowOperatorRates(t *testing.T) {
	count := func(changes []ScheduledChange, kind string) (n int) {
		for i, e := range changes {
			if i > 0 && e.Offset < changes[i-1].Offset {
				t.Fatalf("%v after %v", e, changes[i-1])
			}
			if e.Kind == kind {
				n++
			}
		}
		return n
	}
	p := Plan{HollowNodes: 100, CacheServers: 30, PhaseDuration: 10 * time.Minute, Seed: 7, ChurnFactor: 100, Scenarios: []string{ScenarioList, ScenarioLease, ScenarioBudget, ScenarioConfiguration, ScenarioChurn}}
	steady, churn := p.steadyChanges(), p.churnChanges()
	if !slices.Equal(steady, p.steadyChanges()) || !slices.Equal(churn, p.churnChanges()) {
		t.Error("the same seed gives different changes")
	}
	for _, changes := range [][]ScheduledChange{steady, churn} {
		for _, e := range changes {
			indexBound := map[string]int{changeEntry: p.changingEntries(), restartNode: p.HollowNodes}[e.Kind]
			if e.Offset < 0 || e.Offset >= p.PhaseDuration || e.Index < 0 || e.Index >= max(1, indexBound) {
				t.Fatalf("%+v", e)
			}
		}
	}
	if n := count(steady, changeConfig); n != 84 { // 12,000 a day in ten minutes
		t.Errorf("%d changes of configuration", n)
	}
	if n := count(steady, restartNode); n != 0 {
		t.Errorf("%d restarts without churn", n)
	}
	entries, nodes := float64(count(churn, changeEntry)), float64(count(churn, restartNode))
	if wantMachines := 2126.0 / 144 * 100; math.Abs(entries+nodes-wantMachines) > 5*math.Sqrt(wantMachines) {
		t.Errorf("%g machines changed, want %g", entries+nodes, wantMachines)
	}
	if share := entries / (entries + nodes); math.Abs(share-5700.0/24700) > 0.06 {
		t.Errorf("%g of them are servers", share)
	}
	p.Seed++
	if slices.Equal(churn, p.churnChanges()) {
		t.Error("a different seed gives the same changes")
	}
}

// Least squares recovers an exact line. With noise, the residuals are orthogonal to the sizes and add up to 0.
func TestLeastSquaresRecoversLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, slope := rapid.Float64Range(-1e3, 1e3).Draw(t, "base"), rapid.Float64Range(-10, 10).Draw(t, "slope")
		var sizes, exact, noisy []float64
		for i, x := range rapid.SliceOfNDistinct(rapid.IntRange(1, 20_000), 3, 12, rapid.ID[int]).Draw(t, "sizes") {
			sizes = append(sizes, float64(x))
			exact = append(exact, base+slope*float64(x))
			noisy = append(noisy, exact[i]+rapid.Float64Range(-50, 50).Draw(t, "noise"))
		}
		b, s, _, r2 := leastSquares(sizes, exact)
		if math.Abs(s-slope) > 1e-6*(1+math.Abs(slope)) || math.Abs(b-base) > 1e-4*(1+math.Abs(base)+math.Abs(slope)*20_000) || r2 < 0.999 && slope != 0 && math.Abs(slope) > 1e-6 {
			t.Fatalf("%g + %g x, want %g + %g x, R2 %g", b, s, base, slope, r2)
		}
		_, _, residuals, _ := leastSquares(sizes, noisy)
		sum, weightedSum, scale := 0.0, 0.0, 0.0
		for i, r := range residuals {
			sum += r
			weightedSum += r * sizes[i]
			scale += math.Abs(r*sizes[i]) + math.Abs(noisy[i]*sizes[i])
		}
		if math.Abs(sum) > 1e-6*(1+scale) || math.Abs(weightedSum) > 1e-6*(1+scale) {
			t.Fatalf("sum of residuals %g, weighted by sizes %g", sum, weightedSum)
		}
	})
}

func TestMeasurementsRoundTripAndFitNeedsThreeSizes(t *testing.T) {
	var measurements []Measurement
	for i, n := range []int{25, 60, 150, 350, 800} {
		measurements = append(measurements, Measurement{n, 2, n / 3, 1, "peace", "leader", "share of a core %", 2 + 0.01*float64(n)},
			Measurement{n, 2, n / 3, 1, "peace", "node", "descriptors", 7})
		if i < 2 {
			measurements = append(measurements, Measurement{n, 2, n / 3, 1, "churn", "node", "descriptors", 7})
		}
	}
	var b bytes.Buffer
	if err := WriteMeasurements(&b, measurements[:3], true); err != nil {
		t.Fatal(err)
	}
	if err := WriteMeasurements(&b, measurements[3:], false); err != nil {
		t.Fatal(err)
	}
	parsed, err := ReadMeasurements(&b)
	if err != nil || !reflect.DeepEqual(measurements, parsed) {
		t.Fatalf("%v: %v", err, parsed)
	}
	slices.Reverse(parsed[2:6])
	lines := FitLines(parsed, false)
	if !slices.IsSorted(lines[0].Sizes) {
		t.Errorf("%v", lines[0].Sizes)
	}
	if len(lines) != 2 || math.Abs(lines[0].Slope-0.01) > 1e-9 || math.Abs(lines[0].Predict(19_000)-192) > 1e-6 || lines[0].WorstRelativeResidual() > 1e-9 ||
		lines[1].Slope != 0 || lines[1].R2 != 1 {
		t.Errorf("%+v", lines)
	}
	if linesByServers := FitLines(parsed, true); math.Abs(linesByServers[0].Sizes[4]-266) > 0 {
		t.Errorf("%+v", linesByServers)
	}
	if _, err := ReadMeasurements(strings.NewReader("1,2,3,4,a,b,c,x\n")); err == nil {
		t.Error("an invalid number is accepted")
	}
}

// LastNode has the last node of each change, nodes that were down are left out, and changes that never came into force are missing.
func TestLatenciesCountLastNodeAndMissingEvents(t *testing.T) {
	ms := int64(time.Millisecond)
	s := 1000 * ms
	events := []NodeEvent{{0, eventStart, 0, 0}, {0, eventListInForce, 1 * ms, 1}, {1, eventStart, 0, 0}, {1, eventListInForce, 2 * ms, 1}, {2, eventStart, 0, 0}, {2, eventListInForce, 2 * ms, 1},
		{0, eventListInForce, 20*s + 3*ms, 2}, {1, eventListInForce, 20*s + 9*ms, 2}, {2, eventListInForce, 20*s + 4*ms, 2}, // a change at 20 s
		{2, eventStart, 30*s + 50*ms, 0}, {0, eventListInForce, 30*s + 5*ms, 3}, {1, eventListInForce, 30*s + 40*ms, 4}, // a change at 30 s, which node 1 only has with the next version
		{2, eventListInForce, 30*s + 60*ms, 4}}
	eventsByNode := groupByNode(events)
	got := changeLatencies([]AppliedChange{{20 * s, 2}, {30 * s, 3}}, eventsByNode, []int{0, 1, 2}, eventListInForce, time.Second)
	if got.Missing != 0 || got.PerNode.TotalCount() != 5 || got.LastNode.TotalCount() != 2 {
		t.Fatalf("%d, %d, %d missing", got.PerNode.TotalCount(), got.LastNode.TotalCount(), got.Missing)
	}
	if slowest, fastest := got.LastNode.Max(), got.LastNode.Min(); slowest < 39_900 || slowest > 40_100 || fastest < 8_990 || fastest > 9_010 {
		t.Errorf("%d and %d us", fastest, slowest)
	}
	if incomplete := changeLatencies([]AppliedChange{{20 * s, 5}}, eventsByNode, []int{0, 1, 2}, eventListInForce, time.Minute); incomplete.Missing != 3 {
		t.Errorf("%d missing of a version that no node has", incomplete.Missing)
	}
	if incomplete := changeLatencies([]AppliedChange{{20 * s, 2}}, eventsByNode, []int{0, 1, 2}, eventListInForce, 5*time.Millisecond); incomplete.Missing != 1 {
		t.Errorf("%d late", incomplete.Missing)
	}
	start := startLatencies(eventsByNode, []int{0, 1, 2}, 30*s, eventListInForce, time.Second)
	if start.PerNode.TotalCount() != 1 || start.PerNode.Max() < 9_990 || start.PerNode.Max() > 10_010 {
		t.Errorf("%d, %d us", start.PerNode.TotalCount(), start.PerNode.Max())
	}
	if start := startLatencies(eventsByNode, []int{0, 1, 2}, 30*s, eventLeaseAcquired, time.Second); start.Missing != 1 {
		t.Errorf("%d have no lease", start.Missing)
	}
	// A renewal whose request was sent before the loss does not count.
	leaseEvents := groupByNode([]NodeEvent{{0, eventLeaseRenewed, 10*s + 5*ms, 6 * ms}, {0, eventLeaseRenewed, 11 * s, 2 * ms}, {1, eventLeaseAcquired, 12 * s, ms}})
	if got := renewalLatencies(leaseEvents, []int{0, 1}, 10*s, time.Minute); got.Missing != 0 || got.PerNode.Min() < 999_000 || got.LastNode.Max() < 1_999_000 {
		t.Errorf("%d missing, %d to %d us", got.Missing, got.PerNode.Min(), got.LastNode.Max())
	}
}

func TestEntryChangeFactorRefersToWholeFleet(t *testing.T) {
	// 2,126 machines change a day, 5,700 of 24,700 of them are servers: one server each 176 s.
	if factor := EntryChangeFactor(time.Second); math.Abs(factor-176.1) > 0.1 {
		t.Error(factor)
	}
}

// The simulated discovery service returns the full list, the changes since a version, an empty response if nothing has changed in
// time, and the full list again for a version that is unknown or too old.
func TestDiscoveryServerReturnsChangesSinceVersion(t *testing.T) {
	var entries []Entry
	for i := range 5 {
		entries = append(entries, Entry{ID: fmt.Sprint("c", i), Address: "127.0.0.1:1", Kind: "box", State: "Ready", Region: "r", Zone: "z"})
	}
	discovery := NewDiscoveryServer(entries)
	server := httptest.NewServer(discovery)
	defer server.Close()
	get := func(query string) (p listResponse) {
		t.Helper()
		resp, err := http.Get(server.URL + query)
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
		t.Fatalf("response without changes: %+v", p)
	}
	held := make(chan listResponse)
	go func() { held <- get("/?from=1&hold_ms=10000") }()
	time.Sleep(20 * time.Millisecond)
	removed := entries[2]
	removed.State = "Gone"
	if version := discovery.ChangeEntries([]Entry{removed, {ID: "unknown"}}); version != 2 {
		t.Fatal(version)
	}
	if p := <-held; p.Full || p.Version != 2 || len(p.Servers) != 1 || p.Servers[0] != removed {
		t.Fatalf("%+v", p)
	}
	if p := get("/"); len(p.Servers) != 4 {
		t.Fatalf("a removed entry is on the list: %+v", p)
	}
	discovery.ChangeEntries([]Entry{entries[2]})
	discovery.ChangeEntries([]Entry{entries[3]})
	if p := get("/?from=1&hold_ms=1"); p.Full || p.Version != 4 || len(p.Servers) != 2 || p.Servers[0] != entries[2] {
		t.Fatalf("changes of three versions, want each entry once in its current state: %+v", p)
	}
	if p := get("/?from=9&hold_ms=1"); !p.Full || p.Version != 4 {
		t.Fatalf("response for a version that never existed: %+v", p)
	}
	for range maxKeptVersions + 1 {
		discovery.ChangeEntries(entries[:1])
	}
	if p := get("/?from=2&hold_ms=1"); !p.Full || len(p.Servers) != 5 {
		t.Fatalf("response for a version that is too old: %+v", p)
	}
	if counts := discovery.CallCounts(); counts.FullLists != 4 || counts.Changes != 2 || counts.Empty != 1 {
		t.Fatalf("%+v", counts)
	}
}

// A client that applies the changes arrives at the current list, whichever versions it skips.
func TestDiscoveryServerChangesAddUpToFullList(t *testing.T) {
	if err := quick.Check(func(steps []uint8) bool {
		var entries []Entry
		for i := range 6 {
			entries = append(entries, Entry{ID: fmt.Sprint("c", i), State: "Ready"})
		}
		discovery := NewDiscoveryServer(entries)
		followed, version := map[string]string{}, int64(0)
		apply := func(b []byte) {
			var p listResponse
			_ = json.Unmarshal(b, &p)
			if p.Full {
				clear(followed)
			}
			for _, e := range p.Servers {
				if followed[e.ID] = e.State; e.State == "Gone" {
					delete(followed, e.ID)
				}
			}
			version = p.Version
		}
		poll := func() {
			discovery.mu.Lock()
			b := discovery.changesSince(version)
			discovery.mu.Unlock()
			if b != nil {
				apply(b)
			}
		}
		apply(discovery.fullList())
		for _, s := range steps {
			e := entries[int(s)%len(entries)]
			e.State = []string{"Ready", "Terminating", "Gone"}[int(s)/len(entries)%3]
			if discovery.ChangeEntries([]Entry{e}); s%5 == 0 {
				poll()
			}
		}
		poll()
		current := map[string]string{}
		for id, e := range discovery.entries {
			if e.State != "Gone" {
				current[id] = e.State
			}
		}
		return reflect.DeepEqual(followed, current) && version == discovery.version
	}, nil); err != nil {
		t.Error(err)
	}
}
