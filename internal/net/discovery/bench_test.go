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

// responseBody returns a discovery service's response with the given number of caches, spread over 23 regions and 82 zones. startedMs is the start
// time of all caches and the version of the list.
func responseBody(caches int, full bool, firstCache int, startedMs int64) []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, `{"version":%d,"full":%v,"servers":[`, startedMs, full)
	for i := range caches {
		if i > 0 {
			buf.WriteByte(',')
		}
		n := firstCache + i
		fmt.Fprintf(&buf, `{"id":"cache-%02d-%02d-%05d","addr":"10.%d.%d.%d:8080","kind":"box","zone":"r%02d-z%02d","state":"Ready","started_ms":%d}`,
			n%23, n%82, n, n>>16, n>>8&255, n&255, n%23, n%82, startedMs)
	}
	buf.WriteString("]}")
	return buf.Bytes()
}

// The caches of a zone and of a region, two sizes in between, and all caches of the planned fleet.
var listSizes = []int{70, 248, 1000, 2400, 5700}

// BenchmarkParse parses a full list.
func BenchmarkParse(b *testing.B) {
	for _, caches := range listSizes {
		b.Run(fmt.Sprint("caches=", caches), func(b *testing.B) {
			body := responseBody(caches, true, 0, 1764640000123)
			b.ReportAllocs()
			for b.Loop() {
				if list, err := parseList(body); err != nil || len(list.endpoints) != caches {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "wire-B")
			b.ReportMetric(float64(len(body))/float64(caches), "wire-B/entry")
		})
	}
}

func newDispatcher(b *testing.B) *dispatch.Dispatcher {
	settings, err := config.ParseSettings(map[string]any{"models": []any{"box", "origin"}, "domain": map[string]any{"mode": "aside", "origin-kind": 1.},
		"namespaces": []any{map[string]any{"name": "read", "repeat": "safe", "target-time-ms": 200., "time-limit-ms": 750.}}})
	if err != nil {
		b.Fatal(err)
	}
	dispatcher := dispatch.New(settings, zap.NewNop())
	dispatcher.Start(1, nil, New(dispatcher, "127.0.0.1:1", time.Second, zap.NewNop()))
	return dispatcher
}

// BenchmarkFullUpdate updates the dispatcher with a full list without changes.
func BenchmarkFullUpdate(b *testing.B) {
	for _, caches := range listSizes {
		b.Run(fmt.Sprint("caches=", caches), func(b *testing.B) {
			dispatcher := newDispatcher(b)
			list, err := parseList(responseBody(caches, true, 0, 1764640000123))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				dispatcher.UpdateEndpoints(routing.Full, list.endpoints)
			}
		})
	}
}

// BenchmarkIncrementalUpdate parses a watch response with the restart of one cache and updates the dispatcher with it.
func BenchmarkIncrementalUpdate(b *testing.B) {
	for _, caches := range listSizes {
		b.Run(fmt.Sprint("caches=", caches), func(b *testing.B) {
			dispatcher := newDispatcher(b)
			list, err := parseList(responseBody(caches, true, 0, 1764640000123))
			if err != nil {
				b.Fatal(err)
			}
			dispatcher.UpdateEndpoints(routing.Full, list.endpoints)
			var bodies [64][]byte
			for i := range bodies {
				bodies[i] = responseBody(1, false, i*caches/len(bodies), 1764640000124+int64(i))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				change, err := parseList(bodies[i%len(bodies)])
				if err != nil {
					b.Fatal(err)
				}
				change.endpoints[0].StartedMs += float64(i) // a different start time in each iteration
				dispatcher.UpdateEndpoints(routing.Incremental, change.endpoints)
				i++
			}
		})
	}
}
