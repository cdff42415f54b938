// Package simwire speaks the simulator's wire, lagoon-8246: it decodes events into calls of the decision
// module and encodes the module's Host calls into orders. The wire's own names end here.
package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/routing"
)

// Serve answers every batch read from in with one reply line on out, until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	h := &session{instances: map[string]*instance{}}
	for {
		line, err := readLine(r, h.line[:0])
		h.line = line
		if len(bytes.TrimSpace(line)) > 0 {
			if err := h.handleBatch(line); err != nil {
				return fmt.Errorf("this line is no batch: %w", err)
			}
			if _, err := h.reply.DumpTo(w); err != nil {
				return err
			}
			w.WriteByte('\n')
			if err := w.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readLine appends one line, however long, to buf.
func readLine(r *bufio.Reader, buf []byte) ([]byte, error) {
	for {
		part, err := r.ReadSlice('\n')
		buf = append(buf, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return buf, err
		}
	}
}

// session hosts the instances of one process; they share nothing but its buffers.
type session struct {
	instances map[string]*instance
	line      []byte
	nowMillis float64
	reply     jwriter.Writer
	message   message
}

// message holds what one message said, whatever its kind; it is used again for the next one.
type message struct {
	kind, requestID, class, tenant, key, server, result, update string
	attempt, alarm                                              int
	seed                                                        uint64
	deadlineMillis, workMillis                                  float64
	ended, write                                                bool
	settings                                                    []byte
	endpoints                                                   []endpoint
}

// endpoint is one line of the box list before its names have become indices.
type endpoint struct {
	state, id, model string
	startedAtMillis  float64
}

// handleBatch answers one line into h.out.
func (h *session) handleBatch(line []byte) error {
	if first := bytes.TrimSpace(line); first[0] != '{' {
		return errors.New("not a JSON object")
	}
	// The clock stands before the parts on the wire; a line that has them the other way is read twice.
	number, hasNow, hasParts := 0, false, false
	scan := jlexer.Lexer{Data: line}
	for scan.Delim('{'); !scan.IsDelim('}'); scan.WantComma() {
		name := scan.UnsafeFieldName(false)
		scan.WantColon()
		switch name {
		case "now-ms":
			h.nowMillis, hasNow = scan.Float64(), true
		case "batch":
			number = scan.Int()
		case "parts":
			hasParts = true
			scan.SkipRecursive()
		default:
			scan.SkipRecursive()
		}
	}
	scan.Delim('}')
	scan.Consumed()
	if err := scan.Error(); err != nil {
		return err
	}
	if !hasNow || !hasParts {
		return errors.New("it has no clock or no parts")
	}
	h.reply.RawString(`{"batch":`)
	h.reply.Int(number)
	h.reply.RawString(`,"parts":[`)
	in := jlexer.Lexer{Data: line}
	comma := false
	for in.Delim('{'); !in.IsDelim('}'); in.WantComma() {
		name := in.UnsafeFieldName(false)
		in.WantColon()
		if name != "parts" {
			in.SkipRecursive()
			continue
		}
		for in.Delim('['); !in.IsDelim(']'); in.WantComma() {
			comma = h.handlePart(&in, comma)
		}
		in.Delim(']')
	}
	h.reply.RawString(`]}`)
	return in.Error()
}

// handlePart plays one instance's messages and writes its orders, if there are any.
func (h *session) handlePart(in *jlexer.Lexer, comma bool) bool {
	name, msgs := "", []byte(nil)
	for in.Delim('{'); !in.IsDelim('}'); in.WantComma() {
		field := in.UnsafeFieldName(false)
		in.WantColon()
		switch field {
		case "node":
			name = in.String()
		case "msgs":
			msgs = in.Raw()
		default:
			in.SkipRecursive()
		}
	}
	in.Delim('}')
	if in.Error() != nil || msgs == nil {
		return comma
	}
	orders := orderWriter{w: &h.reply, instance: name, partWritten: comma}
	list := jlexer.Lexer{Data: msgs}
	for list.Delim('['); !list.IsDelim(']'); list.WantComma() {
		h.message.read(&list)
		if list.Error() != nil {
			break
		}
		if err := h.handleMessage(name, &orders); err != nil {
			log.Printf("%s: %s: %v", name, h.message.kind, err)
		}
	}
	if err := list.Error(); err != nil {
		in.AddError(err)
	}
	return orders.close()
}

// read takes one message apart; what it does not know it passes over.
func (f *message) read(in *jlexer.Lexer) {
	*f = message{endpoints: f.endpoints[:0]}
	if in.IsNull() {
		in.Skip()
		return
	}
	for in.Delim('{'); !in.IsDelim('}'); in.WantComma() {
		name := in.UnsafeFieldName(false)
		in.WantColon()
		if in.IsNull() {
			in.Skip()
			in.WantComma()
			continue
		}
		switch name {
		case "what":
			f.kind = in.UnsafeString()
		case "ticket":
			f.requestID = in.UnsafeString()
		case "tier-class":
			f.class = in.UnsafeString()
		case "account":
			if account, ok := in.Interface().(string); ok {
				f.tenant = account
			}
		case "route-key":
			f.key = in.UnsafeString()
		case "server":
			f.server = in.UnsafeString()
		case "state-code":
			f.result = in.UnsafeString()
		case "how":
			f.update = in.UnsafeString()
		case "try":
			f.attempt = in.Int()
		case "handle":
			f.alarm = in.Int()
		case "prng":
			f.seed = in.Uint64()
		case "expires-ms":
			f.deadlineMillis = in.Float64()
		case "size-hint-ms":
			f.workMillis = in.Float64()
		case "ended":
			f.ended = in.Bool()
		case "is-write":
			f.write = in.Bool()
		case "info":
			f.settings = in.Raw()
		case "entries":
			for in.Delim('['); !in.IsDelim(']'); in.WantComma() {
				f.endpoints = append(f.endpoints, readEndpoint(in))
			}
			in.Delim(']')
		default:
			in.SkipRecursive()
		}
	}
	in.Delim('}')
}

func readEndpoint(in *jlexer.Lexer) (e endpoint) {
	for in.Delim('{'); !in.IsDelim('}'); in.WantComma() {
		name := in.UnsafeFieldName(false)
		in.WantColon()
		switch name {
		case "state":
			e.state = in.UnsafeString()
		case "server":
			e.id = in.String()
		case "machine":
			e.model = in.String()
		case "ready-at-ms":
			e.startedAtMillis = in.Float64()
		default:
			in.SkipRecursive()
		}
	}
	in.Delim('}')
	return e
}

var results = map[string]routing.Result{
	"S": routing.Served, "E": routing.ServerError, "F": routing.Rejected, "T": routing.TimedOut, "C": routing.ConnectFailed,
	"R": routing.ConnectionBroken, "X": routing.Canceled, "N": routing.NotSent, "M": routing.NotFound,
}

var updateKinds = map[string]routing.UpdateKind{
	"Partial": routing.Incremental, "Complete": routing.Full, "Persisted": routing.Cached, "Error": routing.Failed,
}

var states = map[string]routing.State{
	"healthy": routing.Ready, "cordoned": routing.Draining, "deregistered": routing.Gone,
}

// handleMessage turns the message at hand into a call. A panic below is told on the wire.
func (h *session) handleMessage(name string, out *orderWriter) (err error) {
	defer func() {
		if r := recover(); r != nil {
			out.begin("internal-error")
			out.text("text", fmt.Sprint(r))
			out.end()
		}
	}()
	f, now := &h.message, config.Ticks(h.nowMillis)
	if f.kind == "create" {
		n, err := newInstance(f.settings)
		if err != nil {
			return err
		}
		h.instances[name] = n
		n.orders = out
		n.balancer = routing.New(n, f.seed, now, n.settings.Routing)
		return nil
	}
	n := h.instances[name]
	if n == nil {
		return errors.New("there is no such instance")
	}
	n.orders = out
	switch f.kind {
	case "ingress":
		return n.startRequest(f, now)
	case "settled":
		return n.attemptDone(f, now)
	case "started", "client-left": // an answer that streams is the server's and the client's from here on
		if lkp, ok := n.requestIndexes[f.requestID]; ok {
			n.balancer.ClientGone(now, lkp)
			n.endRequest(lkp)
		}
	case "alarm":
		n.balancer.Alarm(now, f.alarm)
	case "peers-known":
		return n.updateEndpoints(f, now)
	case "power-off":
		delete(h.instances, name)
	case "sampled", "note-from":
		// The module neither probes nor talks to peers, so these tell it nothing.
	default:
		return errors.New("this event is unknown")
	}
	return nil
}
