// Package handover lets a process of a node take over from another without a gap: it opens the clients' socket that the platform passes on,
// and counts the processes that serve as the same node, among which the node's limits are split.
package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// ErrNotListeningSocket says that a descriptor is not a listening TCP socket.
var ErrNotListeningSocket = errors.New("expected a listening TCP socket, as $BALANCER_PASSED_SOCKET says")

// Socket returns the listener on a descriptor that this process was started with, or ErrNotListeningSocket. Other processes that have the socket keep it,
// and its queue, when the listener is closed.
func Socket(descriptor int) (net.Listener, error) {
	listening, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil || listening == 0 {
		return nil, errors.Join(fmt.Errorf("descriptor %d: %w", descriptor, ErrNotListeningSocket), err)
	}
	file := os.NewFile(uintptr(descriptor), "clients' socket")
	defer file.Close() // the listener has a descriptor of its own
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w: %w", descriptor, ErrNotListeningSocket, err)
	}
	if _, ok := listener.(*net.TCPListener); !ok {
		_ = listener.Close()
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, ErrNotListeningSocket)
	}
	return listener, nil
}
