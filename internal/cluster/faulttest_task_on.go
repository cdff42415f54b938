//go:build faults

package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

// What the rig tells its task.
const (
	DoorVariable   = "THISTLERUDDER_TRIAL_DOOR"   // the address of a door outside the fleet
	RecordVariable = "THISTLERUDDER_TRIAL_RECORD" // the file of this process's own
)

const (
	actLeast  = 3 * time.Millisecond
	actSpread = 12 * time.Millisecond
	actSlack  = 15 * time.Millisecond // for a scheduler that is late with the end of an act
	restSpan  = 8 * time.Millisecond
	lateLook  = 10 * time.Millisecond
	lateLeast = 30 * time.Millisecond
)

// Trace lets each asking of this process be told before it is sent, and its answer to what asked gives back; and each
// answer about budgets. It is called before the first node of the process starts.
func Trace(asked func(lease.Request) func(lease.Response, error), parts func(node string, news []budget.QuotaUpdate)) {
	traceRequest, traceQuotas = asked, parts
}

// record writes what this process does, by the machine's one clock, whatever our own is made to show.
type record struct {
	mu   sync.Mutex
	file *os.File
	who  string
}

func trueBoot() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return t.Nano()
}

func (r *record) write(x map[string]any) {
	x["who"], x["pid"] = r.who, os.Getpid()
	b, _ := json.Marshal(x)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.Write(append(b, '\n'))
}

// faultTestTask acts while it holds the lease: at the door inside the fleet, at one outside, and where no door is.
func (f *Member) faultTestTask() func(context.Context, *HeldLease) bool {
	file, err := os.OpenFile(os.Getenv(RecordVariable), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.log.Sugar().Error(err)
		return nil
	}
	r := &record{file: file, who: f.config.Node}
	traceRequest = func(a lease.Request) func(lease.Response, error) {
		call := trueBoot()
		return func(x lease.Response, err error) {
			if a.Name != config.TaskFaultTest {
				return
			}
			r.write(map[string]any{"what": "ask", "kind": a.Operation, "holder": a.Holder.String(), "asked": a.Token, "call": call,
				"return": trueBoot(), "token": x.Token, "refusal": toWireError(x.Err).Name, "unknown": err != nil})
		}
	}
	go r.lateness()
	return func(ctx context.Context, g *HeldLease) bool {
		r.write(map[string]any{"what": "held", "at": trueBoot(), "token": g.Token()})
		over := make(chan struct{})
		var inside sync.WaitGroup
		inside.Go(func() { // beside the others: an act inside the fleet waits for an answer, which may never come
			for {
				select {
				case <-over:
					return
				case <-time.After(restSpan):
					if g.Do(config.TaskFaultTest, uint64(trueBoot()), nil) != nil {
						time.Sleep(10 * restSpan)
					}
				}
			}
		})
		acts := 10 + rand.IntN(40)
		if rand.IntN(2) == 0 {
			acts *= 20 // kept until it is lost
		}
		for i := range acts {
			if ctx.Err() != nil {
				break
			}
			f.act(r, g, i)
			time.Sleep(restSpan / 4)
		}
		close(over)
		inside.Wait()
		r.write(map[string]any{"what": "over", "at": trueBoot(), "token": g.Token()})
		return true
	}
}

// lateness notes when this process did not run for want of cores, or was made to stand still.
func (r *record) lateness() {
	for {
		was := trueBoot()
		time.Sleep(lateLook)
		if late := trueBoot() - was - int64(lateLook); late > int64(lateLeast) {
			r.write(map[string]any{"what": "late", "at": trueBoot(), "ns": late})
		}
	}
}

func (f *Member) act(r *record, g *HeldLease, i int) {
	takes := actLeast + time.Duration(rand.Int64N(int64(actSpread)))
	if !g.May(takes + actSlack) {
		return
	}
	faults.Point(faults.BeforeAct)
	if i%4 == 0 {
		resp, err := http.Post(fmt.Sprintf("http://%s/?token=%d&who=%s", os.Getenv(DoorVariable), g.Token(), r.who), "", nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return
	}
	from := trueBoot()
	r.write(map[string]any{"what": "begin", "at": from, "token": g.Token()})
	time.Sleep(takes / 2)
	faults.Point(faults.InAct)
	time.Sleep(takes / 2)
	r.write(map[string]any{"what": "end", "at": trueBoot(), "token": g.Token(), "from": from})
}
