// Package handover lets a new process of a node take over from an old one without refusing connections in between. It opens the clients' socket
// that the platform passes to each process, and counts the processes that serve as the same node, among which the node's limits are divided.
package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// ErrNotListeningSocket is returned for a descriptor that is not a listening TCP socket.
var ErrNotListeningSocket = errors.New("expected a listening TCP socket, as $BALANCER_PASSED_SOCKET says")

// ListenerFromFD returns a listener on a descriptor that this process inherited at its start, or an error that wraps ErrNotListeningSocket. Closing
// the listener does not affect other processes that have the socket open: for them it keeps listening, with its accept queue.
func ListenerFromFD(descriptor int) (net.Listener, error) {
	listening, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil || listening == 0 {
		return nil, errors.Join(fmt.Errorf("descriptor %d: %w", descriptor, ErrNotListeningSocket), err)
	}
	file := os.NewFile(uintptr(descriptor), "clients' socket")
	defer file.Close() // net.FileListener duplicates the descriptor
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
