package discovery

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/routing"
)

// pageOf is a discovery service's answer with so many caches of 23 regions and 82 zones; since is their start.
func pageOf(caches int, full bool, from int, since int64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"full":%v,"servers":[`, since, full)
	for i := range caches {
		if i > 0 {
			b.WriteByte(',')
		}
		n := from + i
		fmt.Fprintf(&b, `{"id":"cache-%02d-%02d-%05d","addr":"10.%d.%d.%d:8080","kind":"box","zone":"r%02d-z%02d","state":"Ready","started_ms":%d}`,
			n%23, n%82, n, n>>16, n>>8&255, n&255, n%23, n%82, since)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// A zone's, a region's, a thousand's, and all of the plan's.
var listSizes = []int{70, 248, 1000, 2400, 5700}

// BenchmarkParse reads a whole list.
func BenchmarkParse(b *testing.B) {
	for _, caches := range listSizes {
		b.Run(fmt.Sprint("caches=", caches), func(b *testing.B) {
			page := pageOf(caches, true, 0, 1764640000123)
			b.ReportAllocs()
			for b.Loop() {
				if list, err := parseList(page); err != nil || len(list.endpoints) != caches {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(page)), "wire-B")
			b.ReportMetric(float64(len(page))/float64(caches), "wire-B/entry")
		})
	}
}

func newDispatcher(b *testing.B) *dispatch.Dispatcher {
	t, err := config.ParseSettings(map[string]any{"models": []any{"box", "origin"}, "domain": map[string]any{"mode": "aside", "origin-kind": 1.},
		"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 200., "time-limit-ms": 750.}}})
	if err != nil {
		b.Fatal(err)
	}
	x := dispatch.New(t, zap.NewNop())
	x.Start(1, nil, New(x, "127.0.0.1:1", time.Second, zap.NewNop()))
	return x
}

// BenchmarkWhole takes a whole list, which has not changed, to the module.
func BenchmarkWhole(b *testing.B) {
	for _, caches := range listSizes {
		b.Run(fmt.Sprint("caches=", caches), func(b *testing.B) {
			x := newDispatcher(b)
			list, err := parseList(pageOf(caches, true, 0, 1764640000123))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				x.UpdateEndpoints(routing.Full, list.endpoints)
			}
		})
	}
}

// BenchmarkChange reads one cache's restart from a watch and takes it to the module.
func BenchmarkChange(b *testing.B) {
	for _, caches := range listSizes {
		b.Run(fmt.Sprint("caches=", caches), func(b *testing.B) {
			x := newDispatcher(b)
			list, err := parseList(pageOf(caches, true, 0, 1764640000123))
			if err != nil {
				b.Fatal(err)
			}
			x.UpdateEndpoints(routing.Full, list.endpoints)
			var pages [64][]byte
			for i := range pages {
				pages[i] = pageOf(1, false, i*caches/len(pages), 1764640000124+int64(i))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				change, err := parseList(pages[i%len(pages)])
				if err != nil {
					b.Fatal(err)
				}
				change.endpoints[0].StartedMs += float64(i) // another start each time
				x.UpdateEndpoints(routing.Incremental, change.endpoints)
				i++
			}
		})
	}
}
