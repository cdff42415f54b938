package upstream

import (
	"errors"
	"syscall"
)

// localErrors are the errors of socket(2), connect(2), read(2), recv(2) and send(2) that are caused by this machine and
// say nothing about the server. ECONNREFUSED, ECONNRESET, EHOSTUNREACH, EHOSTDOWN and ETIMEDOUT are not listed: they are
// caused by the server's machine or by a router.
var localErrors = []syscall.Errno{
	syscall.EACCES, syscall.EPERM, // a local firewall or policy
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EAGAIN, // no free local port, or the routing cache is full
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENETDOWN, syscall.ENETUNREACH, // no interface or route from here
	syscall.EAFNOSUPPORT, syscall.EPROTONOSUPPORT, syscall.EINVAL, syscall.EINTR,
	syscall.EIO,
}

// isLocalError reports whether err is caused by this machine, see localErrors.
func isLocalError(err error) bool {
	for _, local := range localErrors {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
