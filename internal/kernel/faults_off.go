//go:build !faults

package kernel

import "net"

// injectedFailure returns the error to inject into a call. A release injects none.
func injectedFailure(Call) error { return nil }

// wrapConn returns the connection as it is.
func wrapConn(c net.Conn) net.Conn { return c }
