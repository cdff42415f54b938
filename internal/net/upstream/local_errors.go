package upstream

import (
	"errors"
	"syscall"
)

// localErrors are the errors of socket(2), connect(2), read(2), recv(2) and send(2) that have their cause on this machine
// and say nothing about the server. Not among them is what the server's machine or a router answered: ECONNREFUSED,
// ECONNRESET, EHOSTUNREACH, EHOSTDOWN, ETIMEDOUT.
var localErrors = []syscall.Errno{
	syscall.EACCES, syscall.EPERM, // a local firewall or policy
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EAGAIN, // no local port is free, or the routing cache is full
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENETDOWN, syscall.ENETUNREACH, // no interface or route from here
	syscall.EAFNOSUPPORT, syscall.EPROTONOSUPPORT, syscall.EINVAL, syscall.EINTR,
	syscall.EIO,
}

// isLocalError reports whether a call failed for a reason of this machine.
func isLocalError(err error) bool {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
