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

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/lease"
)

// The environment variables that configure the task of the fault test.
const (
	FencedResourceVariable = "THISTLERUDDER_TRIAL_DOOR"   // address of a resource outside the cluster that checks fencing tokens
	RecordVariable         = "THISTLERUDDER_TRIAL_RECORD" // file that this process appends its events to
)

const (
	minActDuration    = 3 * time.Millisecond
	actDurationSpread = 12 * time.Millisecond
	actMarginForDelay = 15 * time.Millisecond // for acts that the scheduler ends late
	effectInterval    = 8 * time.Millisecond
	actInterval       = effectInterval / 4
	effectRetryDelay  = 10 * effectInterval
	delayCheckPeriod  = 10 * time.Millisecond
	minReportedDelay  = 30 * time.Millisecond
)

// Trace sets functions that observe the lease and quota calls of this process. request is called before each lease request is
// sent, and the function that it returns is called with the response. quotas is called with each response to a quota request.
// Trace has to be called before the first node of the process starts.
func Trace(request func(lease.Request) func(lease.Response, error), quotas func(node string, updates []budget.QuotaUpdate)) {
	traceRequest = request
	traceQuotas = quotas
}

// event is a line of the record that the fault test checks. internal/faulttest reads its JSON keys.
type event struct {
	Type           string `json:"what"`
	Node           string `json:"who"`
	PID            int    `json:"pid"`
	TimeNs         int64  `json:"at,omitempty"` // boot time, as are StartNs, CallNs and ReturnNs
	StartNs        int64  `json:"from,omitempty"`
	Token          uint64 `json:"token,omitempty"`
	Operation      string `json:"kind,omitempty"` // of a lease request
	Holder         string `json:"holder,omitempty"`
	RequestToken   uint64 `json:"asked,omitempty"` // token in a lease request; Token has that of the response
	CallNs         int64  `json:"call,omitempty"`
	ReturnNs       int64  `json:"return,omitempty"`
	ErrorName      string `json:"refusal,omitempty"`
	OutcomeUnknown bool   `json:"unknown,omitempty"`
	DelayNs        int64  `json:"ns,omitempty"`
}

// recorder writes the events of this process. It takes their times from the machine's boot clock, which all
// processes share, without faults.Clock.
type recorder struct {
	mu   sync.Mutex
	file *os.File
	node string
}

// trueBootTime returns the time of the boot clock in ns, without faults.Clock.
func trueBootTime() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return t.Nano()
}

func (r *recorder) write(e event) {
	e.Node = r.node
	e.PID = os.Getpid()
	line, _ := json.Marshal(e)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.Write(append(line, '\n'))
}

// traceRequest records a lease request of the task and its response.
func (r *recorder) traceRequest(request lease.Request) func(lease.Response, error) {
	call := trueBootTime()
	return func(response lease.Response, err error) {
		if request.Name != config.TaskFaultTest {
			return
		}
		r.write(event{
			Type:           "ask",
			Operation:      request.Operation,
			Holder:         request.Holder.String(),
			RequestToken:   request.Token,
			CallNs:         call,
			ReturnNs:       trueBootTime(),
			Token:          response.Token,
			ErrorName:      toWireError(response.Err).Name,
			OutcomeUnknown: err != nil,
		})
	}
}

// recordDelays records the times in which this process got no processor core, or was suspended.
func (r *recorder) recordDelays() {
	for {
		before := trueBootTime()
		time.Sleep(delayCheckPeriod)
		if delay := trueBootTime() - before - int64(delayCheckPeriod); delay > int64(minReportedDelay) {
			r.write(event{Type: "late", TimeNs: trueBootTime(), DelayNs: delay})
		}
	}
}

// faultTestTask returns the task of the fault test. While the task holds the lease, it sets an effect in the replicated state,
// and acts on two resources outside the cluster: one that checks fencing tokens, and one that doesn't.
func (m *Member) faultTestTask() func(context.Context, *HeldLease) bool {
	file, err := os.OpenFile(os.Getenv(RecordVariable), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.log.Error("fault test record not opened", zap.Error(err))
		return nil
	}
	r := &recorder{file: file, node: m.config.Node}
	traceRequest = r.traceRequest
	go r.recordDelays()
	return func(ctx context.Context, held *HeldLease) bool {
		r.write(event{Type: "held", TimeNs: trueBootTime(), Token: held.Token()})
		done := make(chan struct{})
		var effects sync.WaitGroup
		effects.Go(func() { setEffects(held, done) }) // concurrent with the acts, since a response may never arrive
		acts := 10 + rand.IntN(40)
		if rand.IntN(2) == 0 {
			acts *= 20 // holds the lease until it is lost
		}
		for i := range acts {
			if ctx.Err() != nil {
				break
			}
			r.act(held, i)
			time.Sleep(actInterval)
		}
		close(done)
		effects.Wait()
		r.write(event{Type: "over", TimeNs: trueBootTime(), Token: held.Token()})
		return true
	}
}

// setEffects sets the task's effect repeatedly until done is closed.
func setEffects(held *HeldLease, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(effectInterval):
			if held.SetEffect(config.TaskFaultTest, uint64(trueBootTime()), nil) != nil {
				time.Sleep(effectRetryDelay)
			}
		}
	}
}

// act makes the i-th act: every fourth on the resource that checks fencing tokens, the others on the one that doesn't.
func (r *recorder) act(held *HeldLease, i int) {
	duration := minActDuration + time.Duration(rand.Int64N(int64(actDurationSpread)))
	if !held.MayAct(duration + actMarginForDelay) {
		return
	}
	faults.StopPoint(faults.BeforeAct)
	if i%4 == 0 {
		r.actOnFencedResource(held)
		return
	}
	began := trueBootTime()
	r.write(event{Type: "begin", TimeNs: began, Token: held.Token()})
	time.Sleep(duration / 2)
	faults.StopPoint(faults.InAct)
	time.Sleep(duration / 2)
	r.write(event{Type: "end", TimeNs: trueBootTime(), Token: held.Token(), StartNs: began})
}

// actOnFencedResource acts on the resource that checks fencing tokens.
func (r *recorder) actOnFencedResource(held *HeldLease) {
	url := fmt.Sprintf("http://%s/?token=%d&who=%s", os.Getenv(FencedResourceVariable), held.Token(), r.node)
	response, err := http.Post(url, "", nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
