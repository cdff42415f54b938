package changelog

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// hashed is a purged key as it is sent: six bytes of its hash.
func hashed(i int) string {
	return string(binary.LittleEndian.AppendUint64(nil, xxhash.Sum64String(fmt.Sprint(i)))[:6])
}

// BenchmarkAnswer is what a relay with a ring of ten minutes of purges does for one child that is a quarter of a second behind
// at 120 a second, and what the changes take in a message.
func BenchmarkAnswer(b *testing.B) {
	const ring, behind = 72_000, 30
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := sourceOf(b, 7, ring*size(event(1, hashed(0))))
	var at Position
	for i := range ring {
		if i == ring-behind {
			at = l.Place()
		}
		if err := l.Add(event(uint64(i+1), hashed(i))); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	a := Request{Position: at, Most: 64 << 10}
	b.ReportAllocs()
	for b.Loop() {
		if x := l.Respond(a, 0); len(x.Changes) != behind {
			b.Fatal(len(x.Changes))
		}
	}
	text, _ := json.Marshal(Pack(l.Respond(a, 0).Changes))
	b.ReportMetric(float64(len(text))/behind, "wire-B/change")
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/ring, "heap-B/change")
}

// BenchmarkFollow is what a child does with such an answer: read, look whether it is whole, take it over.
func BenchmarkFollow(b *testing.B) {
	const each = 30
	d := &desk{}
	f := NewFollower(d, 0, usualTerms, nil, Unsafe{})
	l := sourceOf(b, 7, 1<<20)
	d.meet(b, f, l)
	b.ReportAllocs()
	for b.Loop() {
		for range each {
			if err := l.Add(event(l.Place().Revision+1, "01234567")); err != nil {
				b.Fatal(err)
			}
		}
		now := d.next(f)
		x := l.Respond(d.ask, 0)
		var err error
		if x.Changes, err = Unpack(Pack(x.Changes)); err != nil {
			b.Fatal(err)
		}
		if err := f.HandleResponse(now, d.ask.ID, x); err != nil {
			b.Fatal(err)
		}
		d.applied = d.applied[:0]
	}
}

// BenchmarkAll plays ten seconds of peace at the operators' size, 23 regions with 826 nodes each, in simulated time, and tells the
// times from a change to all nodes, and to the last. Run it with -benchtime 1x.
func BenchmarkAll(b *testing.B) {
	for _, regions := range []int{3, 10, 23} {
		b.Run(fmt.Sprint("nodes=", regions*826), func(b *testing.B) {
			for b.Loop() {
				s := newSimulation(regions, 826)
				s.run(5000 * ms)
				before, asked := len(s.agreed), s.asked
				s.took.Reset()
				s.run(15_000 * ms)
				worst := Time(0)
				for _, l := range s.last[before : len(s.last)-2*purgeRate] {
					worst = max(worst, l)
				}
				b.ReportMetric(float64(s.took.ValueAtQuantile(50))/float64(ms), "p50-ms")
				b.ReportMetric(float64(s.took.ValueAtQuantile(99))/float64(ms), "p99-ms")
				b.ReportMetric(float64(worst)/float64(ms), "last-ms")
				b.ReportMetric(float64(s.asked-asked)/10/float64(len(s.nodes)), "asks/s/node")
				b.ReportMetric(float64(s.oldest)/float64(ms), "age-ms")
			}
		})
	}
}
