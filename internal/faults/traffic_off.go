//go:build !faults

package faults

import (
	"context"
	"net"
)

// Counted returns c unchanged.
func Counted(_ string, c net.Conn) net.Conn { return c }

// Dialing returns dial unchanged.
func Dialing(_ string, dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return dial
}
