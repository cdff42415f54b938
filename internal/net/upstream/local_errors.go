package upstream

import (
	"errors"
	"syscall"
)

// localErrors are the errors of making a connection, of reading and of writing that come from this machine, as socket(2), connect(2),
// read(2), recv(2) and send(2) document them. They tell nothing of the server. What its machine, or a router on the way to it, answered is not among them: ECONNREFUSED, ECONNRESET,
// EHOSTUNREACH, EHOSTDOWN, ETIMEDOUT.
var localErrors = []syscall.Errno{
	syscall.EACCES, syscall.EPERM, // a local firewall or policy
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EAGAIN, // no local port is free, or the routing cache is full
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENETDOWN, syscall.ENETUNREACH, // no interface or route from here
	syscall.EAFNOSUPPORT, syscall.EPROTONOSUPPORT, syscall.EINVAL, syscall.EINTR,
	syscall.EIO,
}

// local says that a call failed for a reason of this machine.
func local(err error) bool {
	for _, one := range localErrors {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}
