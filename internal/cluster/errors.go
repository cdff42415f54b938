package cluster

import (
	"errors"
	"fmt"
	"strings"

	"github.com/thistlerudder/thistlerudder/lease"
)

// errorsByName maps the names of errors on the wire to the errors.
var errorsByName = map[string]error{
	"held":      lease.ErrHeld,
	"lapsed":    lease.ErrLeaseExpired,
	"repeated":  lease.ErrDuplicate,
	"reign":     lease.ErrStaleTerm,
	"full":      lease.ErrLimitExceeded,
	"form":      lease.ErrMalformed,
	"unfounded": lease.ErrNotFounded,
	"founded":   lease.ErrAlreadyFounded,
	"leader":    lease.ErrNotLeader,
	"wait":      lease.ErrStillHeld,
	"withdrawn": lease.ErrWithdrawn,
}

// otherError is the name of errors that are not in errorsByName.
const otherError = "other"

// wireError is an error in a response. Peers identify it by its name; the text is for operators.
type wireError struct {
	Name string `json:"name,omitempty"`
	Text string `json:"text,omitempty"`
}

// toWireError converts an error to its wire format.
func toWireError(err error) wireError {
	if err == nil {
		return wireError{}
	}
	for name, known := range errorsByName {
		if errors.Is(err, known) {
			return wireError{Name: name, Text: err.Error()}
		}
	}
	return wireError{Name: otherError, Text: err.Error()}
}

// toError returns the error that a peer has sent. It wraps the error of that name in errorsByName, if there is one.
func (e wireError) toError() error {
	if e.Name == "" {
		return nil
	}
	known, found := errorsByName[e.Name]
	switch {
	case !found:
		return errors.New(e.Text)
	case e.Text == known.Error():
		return known
	}
	return fmt.Errorf("%w (%s)", known, e.Text)
}

// remoteError is an error of a net/rpc call whose text identifies a known error.
type remoteError struct {
	text  string
	known error
}

func (e *remoteError) Error() string { return e.text }
func (e *remoteError) Unwrap() error { return e.known }

// fromCallError converts the error of a call to the known error that its text identifies. net/rpc transmits only the text of an
// error, and peers of any version send these texts.
func fromCallError(err error) error {
	if err == nil {
		return nil
	}
	text := err.Error()
	switch {
	case text == lease.ErrNotLeader.Error():
		return lease.ErrNotLeader
	case strings.Contains(text, lease.ErrAlreadyFounded.Error()):
		return &remoteError{text: text, known: lease.ErrAlreadyFounded}
	}
	return err
}
