package changelog

import (
	"encoding/binary"
	"fmt"
)

// Changes are encoded as a version byte, and for each change a byte of flags and the fields that they announce. What is the same as
// in the change before is left out: a purge by six bytes of its key takes 8 bytes, a tenth of its form with named fields.

const (
	encodingVersion = 1
	maxEncodedBytes = 512 << 10
)

// The flags of a change. The last three say which fields follow beside the key.
const (
	flagEvent = 1 << iota
	flagDeleted
	flagTopic
	flagValue
	flagRevision
	flagEnd // above all flags
)

// Encode encodes changes for one field of a message.
func Encode(changes []Change) []byte {
	b := []byte{encodingVersion}
	var before Change
	for _, c := range changes {
		flags := flagsOf(c, before)
		b = append(b, flags)
		if flags&flagRevision != 0 {
			b = binary.AppendUvarint(b, c.Revision)
		}
		if flags&flagTopic != 0 {
			b = appendText(b, c.Topic)
		}
		b = appendText(b, c.Key)
		if flags&flagValue != 0 {
			b = appendText(b, string(c.Value))
		}
		before = c
	}
	return b
}

// flagsOf returns the flags of a change that follows another one.
func flagsOf(c, before Change) (flags byte) {
	set := func(flag byte, condition bool) {
		if condition {
			flags |= flag
		}
	}
	set(flagEvent, c.Event)
	set(flagDeleted, c.Deleted)
	set(flagTopic, c.Topic != before.Topic)
	set(flagValue, len(c.Value) > 0)
	set(flagRevision, c.Revision != before.Revision+1)
	return flags
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// Decode decodes changes. What can't be decoded is refused as a whole, with an error that wraps ErrMalformed.
func Decode(b []byte) ([]Change, error) {
	if len(b) == 0 || b[0] != encodingVersion || len(b) > maxEncodedBytes {
		return nil, fmt.Errorf("%w: %d encoded bytes, expected version %d and at most %d", ErrMalformed, len(b), encodingVersion, maxEncodedBytes)
	}
	d := decoder{rest: b[1:], length: len(b)}
	for len(d.rest) > 0 {
		if err := d.change(); err != nil {
			return nil, err
		}
	}
	return d.changes, nil
}

// decoder reads changes one after the other.
type decoder struct {
	rest    []byte
	length  int // of the whole input
	changes []Change
	before  Change // the latest of changes
}

// change decodes the next change.
func (d *decoder) change() error {
	flags := d.rest[0]
	d.rest = d.rest[1:]
	if flags >= flagEnd {
		return d.fail("flags")
	}
	c := Change{
		Revision: d.before.Revision + 1,
		Topic:    d.before.Topic,
		Event:    flags&flagEvent != 0,
		Deleted:  flags&flagDeleted != 0,
	}
	ok := true
	if flags&flagRevision != 0 {
		if c.Revision, ok = d.number(); !ok {
			return d.fail("revision")
		}
	}
	if flags&flagTopic != 0 {
		if c.Topic, ok = d.text(maxNameBytes); !ok {
			return d.fail("topic")
		}
	}
	if c.Key, ok = d.text(maxNameBytes); !ok {
		return d.fail("key")
	}
	if flags&flagValue != 0 {
		value, ok := d.text(maxValueBytes)
		if !ok {
			return d.fail("value")
		}
		c.Value = []byte(value)
	}
	if err := c.Check(); err != nil {
		return err
	}
	d.changes = append(d.changes, c)
	d.before = c
	return nil
}

// fail returns the error of a field that can't be decoded.
func (d *decoder) fail(field string) error {
	return fmt.Errorf("%w: %s of change %d, before byte %d", ErrMalformed, field, len(d.changes), d.length-len(d.rest))
}

func (d *decoder) number() (uint64, bool) {
	n, size := binary.Uvarint(d.rest)
	if size <= 0 {
		return 0, false
	}
	d.rest = d.rest[size:]
	return n, true
}

func (d *decoder) text(maxBytes uint64) (string, bool) {
	n, ok := d.number()
	if !ok || n > maxBytes || n > uint64(len(d.rest)) {
		return "", false
	}
	s := string(d.rest[:n])
	d.rest = d.rest[n:]
	return s, true
}
