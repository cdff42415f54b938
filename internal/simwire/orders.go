package simwire

import (
	"github.com/mailru/easyjson/jwriter"

	"github.com/thistlerudder/thistlerudder/routing"
)

// orderWriter writes the orders of one instance into the reply. It opens the
// instance's part of the reply at the first order, so an instance without
// orders has no part.
type orderWriter struct {
	w           *jwriter.Writer
	instance    string
	partWritten bool // whether the reply has this part or an earlier one
	partOpen    bool // whether the reply has this part
}

// begin starts an order of the given kind. The caller must finish it with end.
func (o *orderWriter) begin(kind string) {
	if o.partOpen {
		o.w.RawByte(',')
	} else {
		o.openPart()
	}
	o.w.RawString(`{"what":"`)
	o.w.RawString(kind)
	o.w.RawByte('"')
}

func (o *orderWriter) openPart() {
	if o.partWritten {
		o.w.RawByte(',')
	}
	o.w.RawString(`{"node":`)
	o.w.String(o.instance)
	o.w.RawString(`,"orders":[`)
	o.partOpen = true
	o.partWritten = true
}

func (o *orderWriter) field(name string) {
	o.w.RawString(`,"`)
	o.w.RawString(name)
	o.w.RawString(`":`)
}

func (o *orderWriter) text(name, value string) {
	o.field(name)
	o.w.String(value)
}

func (o *orderWriter) number(name string, value int) {
	o.field(name)
	o.w.Int(value)
}

func (o *orderWriter) bool(name string, value bool) {
	o.field(name)
	o.w.Bool(value)
}

func (o *orderWriter) millis(name string, t routing.Time) {
	o.field(name)
	o.w.Float64(float64(t) / float64(routing.Millisecond))
}

func (o *orderWriter) end() { o.w.RawByte('}') }

// close ends the part, if it is open, and reports whether the reply has at
// least one part.
func (o *orderWriter) close() bool {
	if o.partOpen {
		o.w.RawString(`]}`)
	}
	return o.partWritten
}
