package changelog

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// hashedKey returns the key of a purge: six bytes of a hash.
func hashedKey(i int) string {
	return string(binary.LittleEndian.AppendUint64(nil, xxhash.Sum64String(fmt.Sprint(i)))[:6])
}

// BenchmarkRespond measures how a log with a ring of ten minutes of purges, at 120 a second, responds to a child that is a quarter of a
// second behind. It reports the heap and the size of the encoded response per change.
func BenchmarkRespond(b *testing.B) {
	const ringChanges, changesBehind = 72_000, 30
	var memBefore, memAfter runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memBefore)
	l := newSourceLog(b, 7, ringChanges*changeBytes(purgeEvent(1, hashedKey(0))))
	var childPosition Position
	for i := range ringChanges {
		if i == ringChanges-changesBehind {
			childPosition = l.Position()
		}
		if err := l.Add(purgeEvent(uint64(i+1), hashedKey(i))); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&memAfter)
	request := Request{Position: childPosition, MaxBytes: 64 << 10}
	b.ReportAllocs()
	for b.Loop() {
		if resp := l.Respond(request, 0); len(resp.Changes) != changesBehind {
			b.Fatal(len(resp.Changes))
		}
	}
	encoded, _ := json.Marshal(Encode(l.Respond(request, 0).Changes))
	b.ReportMetric(float64(len(encoded))/changesBehind, "wire-B/change")
	b.ReportMetric(float64(int64(memAfter.HeapAlloc)-int64(memBefore.HeapAlloc))/ringChanges, "heap-B/change")
}

// BenchmarkFollow measures a follower that decodes, verifies and applies a response of 30 changes.
func BenchmarkFollow(b *testing.B) {
	const changesPerResponse = 30
	h := &recordingHost{}
	f := NewFollower(h, 0, defaultConfig, nil, DisabledSafeguards{})
	l := newSourceLog(b, 7, 1<<20)
	h.followUntilCurrent(b, f, l)
	b.ReportAllocs()
	for b.Loop() {
		for range changesPerResponse {
			if err := l.Add(purgeEvent(l.Position().Revision+1, "01234567")); err != nil {
				b.Fatal(err)
			}
		}
		now := h.fireAlarm(f)
		resp := l.Respond(h.lastRequest, 0)
		var err error
		if resp.Changes, err = Decode(Encode(resp.Changes)); err != nil {
			b.Fatal(err)
		}
		if err := f.HandleResponse(now, h.lastRequest.ID, resp); err != nil {
			b.Fatal(err)
		}
		h.appliedChanges = h.appliedChanges[:0]
	}
}

// BenchmarkFleet simulates ten seconds without faults. The largest fleet has the size of the operators': 23 regions with 826 nodes
// each. It reports the latencies of changes to each node and to the last node, the rate of requests and the largest age. Run it with
// -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, regionCount := range []int{3, 10, 23} {
		b.Run(fmt.Sprint("nodes=", regionCount*826), func(b *testing.B) {
			for b.Loop() {
				s := newSimulation(regionCount, 826)
				s.run(5000 * ms)
				changesBefore, requestsBefore := len(s.committedAt), s.requests
				s.latencies.Reset()
				s.run(15_000 * ms)
				maxLastNodeLatency := Time(0)
				for _, latency := range s.lastNodeLatency[changesBefore : len(s.lastNodeLatency)-2*purgesPerSecond] {
					maxLastNodeLatency = max(maxLastNodeLatency, latency)
				}
				b.ReportMetric(float64(s.latencies.ValueAtQuantile(50))/float64(ms), "p50-ms")
				b.ReportMetric(float64(s.latencies.ValueAtQuantile(99))/float64(ms), "p99-ms")
				b.ReportMetric(float64(maxLastNodeLatency)/float64(ms), "last-ms")
				b.ReportMetric(float64(s.requests-requestsBefore)/10/float64(len(s.nodes)), "asks/s/node")
				b.ReportMetric(float64(s.maxAge)/float64(ms), "age-ms")
			}
		})
	}
}
