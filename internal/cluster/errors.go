package cluster

import (
	"errors"
	"fmt"
	"strings"

	"github.com/thistlerudder/thistlerudder/lease"
)

// errorsByName has the errors that a response carries by name.
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

// wireError is an error in a response. A peer recognises it by its name; the text is for people.
type wireError struct {
	Name string `json:"name,omitempty"`
	Text string `json:"text,omitempty"`
}

// toWireError returns the form of an error on the wire.
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

// toError returns the error that a peer has sent, which wraps the known error of its name.
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

// remoteError is an error that net/rpc carried by its text, recognised as a known one.
type remoteError struct {
	text  string
	known error
}

func (e *remoteError) Error() string { return e.text }
func (e *remoteError) Unwrap() error { return e.known }

// fromCallError returns the error of a call with the known error that its text names. Errors of net/rpc have no type beyond
// their text, in peers of any version.
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
