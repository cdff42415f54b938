package changelog

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// hashed returns a purged key as it is sent: six bytes of its hash.
func hashed(i int) string {
	return string(binary.LittleEndian.AppendUint64(nil, xxhash.Sum64String(fmt.Sprint(i)))[:6])
}

// BenchmarkRespond measures a relay with a ring of ten minutes of purges, and one child that is a quarter of a second behind at
// 120 a second, and the bytes that the changes take in a message.
func BenchmarkRespond(b *testing.B) {
	const ring, behind = 72_000, 30
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := sourceOf(b, 7, ring*changeBytes(event(1, hashed(0))))
	var at Position
	for i := range ring {
		if i == ring-behind {
			at = l.Position()
		}
		if err := l.Add(event(uint64(i+1), hashed(i))); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	a := Request{Position: at, MaxBytes: 64 << 10}
	b.ReportAllocs()
	for b.Loop() {
		if x := l.Respond(a, 0); len(x.Changes) != behind {
			b.Fatal(len(x.Changes))
		}
	}
	text, _ := json.Marshal(Encode(l.Respond(a, 0).Changes))
	b.ReportMetric(float64(len(text))/behind, "wire-B/change")
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/ring, "heap-B/change")
}

// BenchmarkFollow measures a child that decodes, verifies and applies such a response.
func BenchmarkFollow(b *testing.B) {
	const each = 30
	d := &recordingHost{}
	f := NewFollower(d, 0, defaultConfig, nil, DisabledSafeguards{})
	l := sourceOf(b, 7, 1<<20)
	d.followUntilCurrent(b, f, l)
	b.ReportAllocs()
	for b.Loop() {
		for range each {
			if err := l.Add(event(l.Position().Revision+1, "01234567")); err != nil {
				b.Fatal(err)
			}
		}
		now := d.next(f)
		x := l.Respond(d.request, 0)
		var err error
		if x.Changes, err = Decode(Encode(x.Changes)); err != nil {
			b.Fatal(err)
		}
		if err := f.HandleResponse(now, d.request.ID, x); err != nil {
			b.Fatal(err)
		}
		d.applied = d.applied[:0]
	}
}

// BenchmarkFleet simulates ten seconds without faults, up to the operators' size of 23 regions with 826 nodes each, and reports the
// latencies of a change to all nodes, and to the last. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, regions := range []int{3, 10, 23} {
		b.Run(fmt.Sprint("nodes=", regions*826), func(b *testing.B) {
			for b.Loop() {
				s := newSimulation(regions, 826)
				s.run(5000 * ms)
				before, asked := len(s.agreed), s.requests
				s.latencies.Reset()
				s.run(15_000 * ms)
				worst := Time(0)
				for _, l := range s.lastNodeLatency[before : len(s.lastNodeLatency)-2*purgeRate] {
					worst = max(worst, l)
				}
				b.ReportMetric(float64(s.latencies.ValueAtQuantile(50))/float64(ms), "p50-ms")
				b.ReportMetric(float64(s.latencies.ValueAtQuantile(99))/float64(ms), "p99-ms")
				b.ReportMetric(float64(worst)/float64(ms), "last-ms")
				b.ReportMetric(float64(s.requests-asked)/10/float64(len(s.nodes)), "asks/s/node")
				b.ReportMetric(float64(s.oldest)/float64(ms), "age-ms")
			}
		})
	}
}
