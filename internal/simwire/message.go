package simwire

import (
	"github.com/mailru/easyjson/jlexer"

	"github.com/thistlerudder/thistlerudder/routing"
)

// message holds the fields of one event of any kind. Its strings, except for
// tenant, refer to the buffer of the current line and are valid only until the
// next line is read.
type message struct {
	kind           string
	requestID      string
	class          string
	tenant         string
	key            string
	server         string
	result         string
	update         string
	attempt        int
	alarm          int
	seed           uint64
	deadlineMillis float64
	workMillis     float64
	ended          bool
	write          bool
	settings       []byte
	endpoints      []endpoint
}

// endpoint is an entry of the endpoint list. Its ID and model are copies, which
// stay valid; its state is valid only until the next line is read.
type endpoint struct {
	state           string
	id              string
	model           string
	startedAtMillis float64
}

// The codes that the wire uses for results, list updates and endpoint states.
var (
	results = map[string]routing.Result{
		"S": routing.Served,
		"E": routing.ServerError,
		"F": routing.Rejected,
		"T": routing.TimedOut,
		"C": routing.ConnectFailed,
		"R": routing.ConnectionBroken,
		"X": routing.Canceled,
		"N": routing.NotSent,
		"M": routing.NotFound,
	}
	updateKinds = map[string]routing.UpdateKind{
		"Partial":   routing.Incremental,
		"Complete":  routing.Full,
		"Persisted": routing.Cached,
		"Error":     routing.Failed,
	}
	states = map[string]routing.State{
		"healthy":      routing.Ready,
		"cordoned":     routing.Draining,
		"deregistered": routing.Gone,
	}
)

// read reads one message; unknown fields are skipped.
func (m *message) read(in *jlexer.Lexer) {
	*m = message{endpoints: m.endpoints[:0]}
	if in.IsNull() {
		in.Skip()
		return
	}
	eachField(in, func(name string) {
		if in.IsNull() {
			in.Skip()
			return
		}
		m.readField(in, name)
	})
}

func (m *message) readField(in *jlexer.Lexer, name string) {
	switch name {
	case "what":
		m.kind = in.UnsafeString()
	case "ticket":
		m.requestID = in.UnsafeString()
	case "tier-class":
		m.class = in.UnsafeString()
	case "account":
		if tenant, ok := in.Interface().(string); ok {
			m.tenant = tenant
		}
	case "route-key":
		m.key = in.UnsafeString()
	case "server":
		m.server = in.UnsafeString()
	case "state-code":
		m.result = in.UnsafeString()
	case "how":
		m.update = in.UnsafeString()
	case "try":
		m.attempt = in.Int()
	case "handle":
		m.alarm = in.Int()
	case "prng":
		m.seed = in.Uint64()
	case "expires-ms":
		m.deadlineMillis = in.Float64()
	case "size-hint-ms":
		m.workMillis = in.Float64()
	case "ended":
		m.ended = in.Bool()
	case "is-write":
		m.write = in.Bool()
	case "info":
		m.settings = in.Raw()
	case "entries":
		eachElement(in, func() { m.endpoints = append(m.endpoints, readEndpoint(in)) })
	default:
		in.SkipRecursive()
	}
}

func readEndpoint(in *jlexer.Lexer) (e endpoint) {
	eachField(in, func(name string) {
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
	})
	return e
}

// eachField calls read for each field of a JSON object; read must consume the
// field's value.
func eachField(in *jlexer.Lexer, read func(name string)) {
	for in.Delim('{'); !in.IsDelim('}'); in.WantComma() {
		name := in.UnsafeFieldName(false)
		in.WantColon()
		read(name)
	}
	in.Delim('}')
}

// eachElement calls read for each element of a JSON array; read must consume
// it.
func eachElement(in *jlexer.Lexer, read func()) {
	for in.Delim('['); !in.IsDelim(']'); in.WantComma() {
		read()
	}
	in.Delim(']')
}
