package changelog

import (
	"encoding/binary"
	"fmt"
)

// Changes stand in one field of a message: 8 bytes for a purge by six of its key's hash, where names beside the values would take ten times that.
// What can't be read is refused whole, with where it went wrong.

const (
	packed   = 1         // version
	packMost = 512 << 10 // bytes in one message, before any are read

	flagEvent, flagGone, flagTopic, flagValue, flagRevision = 1, 2, 4, 8, 16 // of the kind; which parts follow
)

// Pack writes changes down.
func Pack(all []Change) []byte {
	b := []byte{packed}
	put := func(s string) {
		b = append(binary.AppendUvarint(b, uint64(len(s))), s...)
	}
	var was Change
	for _, c := range all {
		flags := byte(0)
		set := func(flag byte, is bool) {
			if is {
				flags |= flag
			}
		}
		set(flagEvent, c.Event)
		set(flagGone, c.Gone)
		set(flagTopic, c.Topic != was.Topic)
		set(flagValue, len(c.Value) > 0)
		set(flagRevision, c.Revision != was.Revision+1)
		if b = append(b, flags); flags&flagRevision != 0 {
			b = binary.AppendUvarint(b, c.Revision)
		}
		if flags&flagTopic != 0 {
			put(c.Topic)
		}
		if put(c.Key); flags&flagValue != 0 {
			put(string(c.Value))
		}
		was = c
	}
	return b
}

// Unpack reads them.
func Unpack(b []byte) (all []Change, err error) {
	if len(b) == 0 || b[0] != packed || len(b) > packMost {
		return nil, fmt.Errorf("%w: %d packed bytes, expected version %d and %d at the most", ErrMalformed, len(b), packed, packMost)
	}
	whole := len(b)
	cut := func(what string) error {
		return fmt.Errorf("%w: %s of change %d ends at byte %d", ErrMalformed, what, len(all), whole-len(b))
	}
	number := func() (uint64, bool) {
		n, size := binary.Uvarint(b)
		if size <= 0 {
			return 0, false
		}
		b = b[size:]
		return n, true
	}
	text := func(most uint64) (string, bool) {
		n, ok := number()
		if !ok || n > most || n > uint64(len(b)) {
			return "", false
		}
		s := string(b[:n])
		b = b[n:]
		return s, true
	}
	var was Change
	for b = b[1:]; len(b) > 0; {
		flags, ok := b[0], true
		b = b[1:]
		if flags >= flagRevision<<1 {
			return nil, cut("kind")
		}
		c := Change{Revision: was.Revision + 1, Topic: was.Topic, Event: flags&flagEvent != 0, Gone: flags&flagGone != 0}
		if flags&flagRevision != 0 {
			if c.Revision, ok = number(); !ok {
				return nil, cut("revision")
			}
		}
		if flags&flagTopic != 0 {
			if c.Topic, ok = text(nameMost); !ok {
				return nil, cut("topic")
			}
		}
		if c.Key, ok = text(nameMost); !ok {
			return nil, cut("key")
		}
		if flags&flagValue != 0 {
			value, ok := text(valueMost)
			if !ok {
				return nil, cut("value")
			}
			c.Value = []byte(value)
		}
		if err := c.Check(); err != nil {
			return nil, err
		}
		all = append(all, c)
		was = c
	}
	return all, nil
}
