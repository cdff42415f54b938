//go:build !faults

package faults

import (
	"context"
	"net"
)

// CountConn returns c unchanged.
func CountConn(_ string, c net.Conn) net.Conn { return c }

// CountDialer returns dial unchanged.
func CountDialer(_ string, dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return dial
}
