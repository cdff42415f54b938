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
	var previous Change
	for _, c := range changes {
		flags := changeFlags(c, previous)
		b = append(b, flags)
		if flags&flagRevision != 0 {
			b = binary.AppendUvarint(b, c.Revision)
		}
		if flags&flagTopic != 0 {
			b = appendString(b, c.Topic)
		}
		b = appendString(b, c.Key)
		if flags&flagValue != 0 {
			b = appendString(b, string(c.Value))
		}
		previous = c
	}
	return b
}

// changeFlags returns the flags of a change that follows another one.
func changeFlags(c, previous Change) (flags byte) {
	set := func(flag byte, condition bool) {
		if condition {
			flags |= flag
		}
	}
	set(flagEvent, c.Event)
	set(flagDeleted, c.Deleted)
	set(flagTopic, c.Topic != previous.Topic)
	set(flagValue, len(c.Value) > 0)
	set(flagRevision, c.Revision != previous.Revision+1)
	return flags
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// Decode decodes changes. What can't be decoded is refused as a whole, with an error that wraps ErrMalformed.
func Decode(b []byte) ([]Change, error) {
	if len(b) == 0 || b[0] != encodingVersion || len(b) > maxEncodedBytes {
		return nil, fmt.Errorf("%w: %d encoded bytes, expected version %d and at most %d", ErrMalformed, len(b), encodingVersion, maxEncodedBytes)
	}
	d := decoder{remaining: b[1:], inputBytes: len(b)}
	for len(d.remaining) > 0 {
		if err := d.readChange(); err != nil {
			return nil, err
		}
	}
	return d.changes, nil
}

// decoder reads changes one after the other.
type decoder struct {
	remaining  []byte
	inputBytes int // of the whole input
	changes    []Change
	previous   Change // the latest of changes
}

// readChange decodes the next change.
func (d *decoder) readChange() error {
	flags := d.remaining[0]
	d.remaining = d.remaining[1:]
	if flags >= flagEnd {
		return d.fieldError("flags")
	}
	c := Change{
		Revision: d.previous.Revision + 1,
		Topic:    d.previous.Topic,
		Event:    flags&flagEvent != 0,
		Deleted:  flags&flagDeleted != 0,
	}
	ok := true
	if flags&flagRevision != 0 {
		if c.Revision, ok = d.readUvarint(); !ok {
			return d.fieldError("revision")
		}
	}
	if flags&flagTopic != 0 {
		if c.Topic, ok = d.readString(maxNameBytes); !ok {
			return d.fieldError("topic")
		}
	}
	if c.Key, ok = d.readString(maxNameBytes); !ok {
		return d.fieldError("key")
	}
	if flags&flagValue != 0 {
		value, ok := d.readString(maxValueBytes)
		if !ok {
			return d.fieldError("value")
		}
		c.Value = []byte(value)
	}
	if err := c.Validate(); err != nil {
		return err
	}
	d.changes = append(d.changes, c)
	d.previous = c
	return nil
}

// fieldError returns the error of a field that can't be decoded.
func (d *decoder) fieldError(field string) error {
	return fmt.Errorf("%w: %s of change %d, before byte %d", ErrMalformed, field, len(d.changes), d.inputBytes-len(d.remaining))
}

func (d *decoder) readUvarint() (uint64, bool) {
	n, size := binary.Uvarint(d.remaining)
	if size <= 0 {
		return 0, false
	}
	d.remaining = d.remaining[size:]
	return n, true
}

func (d *decoder) readString(maxBytes uint64) (string, bool) {
	n, ok := d.readUvarint()
	if !ok || n > maxBytes || n > uint64(len(d.remaining)) {
		return "", false
	}
	s := string(d.remaining[:n])
	d.remaining = d.remaining[n:]
	return s, true
}
