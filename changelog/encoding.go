package changelog

import (
	"encoding/binary"
	"fmt"
)

// Changes are encoded as a version byte followed by the changes. Each change is a byte of flags, the key, and the optional fields
// that the flags announce. A topic that equals the one of the previous change, and a revision that is one above it, are omitted. A
// purge whose key has six bytes takes 8 bytes, a tenth of an encoding with named fields.

const (
	encodingVersion = 1
	maxEncodedBytes = 512 << 10 // limit on the input of Decode
)

// Flags of an encoded change. flagTopic, flagValue and flagRevision announce optional fields.
const (
	flagEvent = 1 << iota
	flagDeleted
	flagTopic
	flagValue
	flagRevision
	flagEnd // first value above all combinations of flags
)

// Encode encodes consecutive changes for a field of a message.
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

// changeFlags returns the flags of change c, given the change encoded before it.
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

// appendString appends the length of s as a varint, and s.
func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// Decode decodes the output of Encode. If any part of the input is invalid, it returns no changes and an error that wraps
// ErrMalformed.
func Decode(b []byte) ([]Change, error) {
	if len(b) == 0 || b[0] != encodingVersion || len(b) > maxEncodedBytes {
		return nil, fmt.Errorf("%w: input has %d bytes; expected encoding version %d and at most %d bytes", ErrMalformed, len(b), encodingVersion, maxEncodedBytes)
	}
	d := decoder{remaining: b[1:], inputBytes: len(b)}
	for len(d.remaining) > 0 {
		if err := d.readChange(); err != nil {
			return nil, err
		}
	}
	return d.changes, nil
}

// decoder holds the progress of decoding a sequence of changes.
type decoder struct {
	remaining  []byte
	inputBytes int // size of the whole input
	changes    []Change
	previous   Change // last element of changes, or the zero Change
}

// readChange decodes one change and appends it to d.changes.
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

// fieldError returns an error about a field that can't be decoded.
func (d *decoder) fieldError(field string) error {
	return fmt.Errorf("%w: invalid %s of change %d, before byte %d", ErrMalformed, field, len(d.changes), d.inputBytes-len(d.remaining))
}

// readUvarint consumes a varint. It returns false if there is no valid one.
func (d *decoder) readUvarint() (uint64, bool) {
	n, size := binary.Uvarint(d.remaining)
	if size <= 0 {
		return 0, false
	}
	d.remaining = d.remaining[size:]
	return n, true
}

// readString consumes a length and a string of at most maxBytes. It returns false if the length exceeds maxBytes or the input.
func (d *decoder) readString(maxBytes uint64) (string, bool) {
	n, ok := d.readUvarint()
	if !ok || n > maxBytes || n > uint64(len(d.remaining)) {
		return "", false
	}
	s := string(d.remaining[:n])
	d.remaining = d.remaining[n:]
	return s, true
}
