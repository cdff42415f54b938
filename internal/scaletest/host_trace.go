//go:build faults

package scaletest

import (
	"errors"
	"strconv"
	"strings"

	"go.uber.org/zap/zapcore"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/internal/faulttest"
	"github.com/thistlerudder/thistlerudder/lease"
)

// eventCore is a zap core that turns log messages of a node into events.
type eventCore struct {
	host *host
	node int
}

func (c *eventCore) Enabled(l zapcore.Level) bool { return l >= zapcore.InfoLevel }

func (c *eventCore) With([]zapcore.Field) zapcore.Core { return c }

func (c *eventCore) Sync() error { return nil }

func (c *eventCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if _, isEvent := eventKindsByMessage[e.Message]; isEvent {
		return checked.AddCore(e, c)
	}
	return checked
}

// eventKindsByMessage maps log messages to kinds of events.
var eventKindsByMessage = map[string]string{
	"endpoint list updated":  eventListInForce,
	"configuration reloaded": eventConfigInForce,
	"a lease is lost":        eventLeaseLost,
}

func (c *eventCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	event := NodeEvent{Node: c.node, Kind: eventKindsByMessage[e.Message]}
	for _, f := range fields {
		if f.Key == "version" {
			event.Value = f.Integer
		}
	}
	c.host.addEvent(event)
	return nil
}

// traceLeaseRequest observes a request for the lease of a node's name. The function that it returns records the outcome.
func (h *host) traceLeaseRequest(request lease.Request) func(lease.Response, error) {
	n, err := strconv.Atoi(strings.TrimPrefix(request.Holder.Name, hollowNodePrefix))
	if err != nil || request.Operation != lease.OpAcquire && request.Operation != lease.OpRenew {
		return func(lease.Response, error) {}
	}
	sentNs := faulttest.BootTimeNs()
	return func(answer lease.Response, err error) {
		event := NodeEvent{Node: n, Value: faulttest.BootTimeNs() - sentNs}
		switch {
		case errors.Is(answer.Err, lease.ErrStillHeld):
			return
		case err != nil || answer.Err != nil:
			event.Kind = eventLeaseRequestFailed
		case request.Operation == lease.OpAcquire:
			event.Kind = eventLeaseAcquired
		default:
			event.Kind = eventLeaseRenewed
		}
		h.addEvent(event)
	}
}

// traceQuotas records that a node received quotas.
func (h *host) traceQuotas(name string, updates []budget.QuotaUpdate) {
	n, err := strconv.Atoi(strings.TrimPrefix(name, hollowNodePrefix))
	for _, update := range updates {
		if err == nil {
			h.addEvent(NodeEvent{Node: n, Kind: eventQuotasReceived, Value: int64(update.Config.Revision)})
		}
	}
}
