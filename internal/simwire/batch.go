package simwire

import (
	"bytes"
	"errors"
	"fmt"
	"log"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// session hosts the instances of one process. The instances share only the
// session's buffers.
type session struct {
	instances map[string]*instance // by name on the wire
	nowMillis float64
	reply     jwriter.Writer
	message   message // the current message, reused for each one
}

func newSession() *session { return &session{instances: map[string]*instance{}} }

// header holds the fields of a batch other than its parts.
type header struct {
	number           int
	nowMillis        float64
	hasNow, hasParts bool // whether the batch has the fields now-ms and parts
}

// handleBatch writes the reply to one batch into s.reply.
func (s *session) handleBatch(line []byte) error {
	// The field now-ms may follow the parts, so the header is read first.
	h, err := readHeader(line)
	if err != nil {
		return err
	}
	s.nowMillis = h.nowMillis
	s.reply.RawString(`{"batch":`)
	s.reply.Int(h.number)
	s.reply.RawString(`,"parts":[`)
	if err := s.handleParts(line); err != nil {
		return err
	}
	s.reply.RawString(`]}`)
	return nil
}

// readHeader reads the header of a batch and skips the parts.
func readHeader(line []byte) (h header, err error) {
	if bytes.TrimSpace(line)[0] != '{' {
		return h, errors.New("not a JSON object")
	}
	in := jlexer.Lexer{Data: line}
	eachField(&in, func(name string) {
		switch name {
		case "now-ms":
			h.nowMillis, h.hasNow = in.Float64(), true
		case "batch":
			h.number = in.Int()
		case "parts":
			h.hasParts = true
			in.SkipRecursive()
		default:
			in.SkipRecursive()
		}
	})
	in.Consumed()
	if err := in.Error(); err != nil {
		return h, err
	}
	if !h.hasNow || !h.hasParts {
		return h, errors.New("now-ms or parts is missing")
	}
	return h, nil
}

// handleParts handles the parts of a batch, one for each instance with events.
func (s *session) handleParts(line []byte) error {
	in := jlexer.Lexer{Data: line}
	partWritten := false
	eachField(&in, func(name string) {
		if name != "parts" {
			in.SkipRecursive()
			return
		}
		eachElement(&in, func() { partWritten = s.handlePart(&in, partWritten) })
	})
	return in.Error()
}

// handlePart handles the messages to one instance and writes its orders, if
// there are any. It reports whether the reply now has at least one part.
func (s *session) handlePart(in *jlexer.Lexer, partWritten bool) bool {
	name, messages := "", []byte(nil)
	eachField(in, func(field string) {
		switch field {
		case "node":
			name = in.String()
		case "msgs":
			messages = in.Raw()
		default:
			in.SkipRecursive()
		}
	})
	if in.Error() != nil || messages == nil {
		return partWritten
	}
	orders := orderWriter{w: &s.reply, instance: name, partWritten: partWritten}
	list := jlexer.Lexer{Data: messages}
	for list.Delim('['); !list.IsDelim(']'); list.WantComma() {
		s.message.read(&list)
		if list.Error() != nil {
			break
		}
		if err := s.handleMessage(name, &orders); err != nil {
			log.Printf("%s: %s: %v", name, s.message.kind, err)
		}
	}
	if err := list.Error(); err != nil {
		in.AddError(err)
	}
	return orders.close()
}

// handleMessage reports the event of s.message to an instance. A panic is
// recovered and written as an internal-error order.
func (s *session) handleMessage(name string, orders *orderWriter) (err error) {
	defer func() {
		if r := recover(); r != nil {
			orders.begin("internal-error")
			orders.text("text", fmt.Sprint(r))
			orders.end()
		}
	}()
	m, now := &s.message, config.MillisecondsToTime(s.nowMillis)
	if m.kind == "create" {
		return s.createInstance(name, orders, now)
	}
	n := s.instances[name]
	if n == nil {
		return errors.New("unknown instance")
	}
	n.orders = orders
	switch m.kind {
	case "ingress":
		return n.startRequest(m, now)
	case "settled":
		return n.attemptDone(m, now)
	case "started", "client-left": // the simulator forwards a started answer without the balancer
		n.clientGone(m.requestID, now)
	case "alarm":
		n.balancer.HandleAlarm(now, m.alarm)
	case "peers-known":
		return n.updateEndpoints(m, now)
	case "power-off":
		delete(s.instances, name)
	case "sampled", "note-from":
		// Routing uses neither load reports nor messages between nodes.
	default:
		return errors.New("unknown event")
	}
	return nil
}

// createInstance starts an instance with the settings and the seed of
// s.message.
func (s *session) createInstance(name string, orders *orderWriter, now routing.Time) error {
	n, err := newInstance(s.message.settings)
	if err != nil {
		return err
	}
	s.instances[name] = n
	n.orders = orders
	n.balancer = routing.New(n, s.message.seed, now, n.settings.Routing)
	return nil
}
