//go:build !faults

package kernel

import "net"

// injectedFailure returns nil: builds without the tag faults inject no errors.
func injectedFailure(Call) error { return nil }

// wrapConn returns c unchanged.
func wrapConn(c net.Conn) net.Conn { return c }
