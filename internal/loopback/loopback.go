// Package loopback hands out addresses of the loopback network to tests and trials, so that processes that run at the same time take different ones. All
// lie outside 127.0.0.0/16, from which the kernel assigns the addresses of outgoing connections, and their ports below its ephemeral ones.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// The second bytes of the addresses: of FreeAddress, and of those that Octet reserves.
const (
	firstFreeOctet     = 64
	freeOctets         = 64
	firstReservedOctet = 128
	reservedOctets     = 122
)

const (
	firstFreePort    = 7000
	hostsPerPort     = 250
	maxFreeTries     = 100
	reservationPort  = 6999
	reservationLocal = "255.254" // the last bytes of the address that holds a reservation
)

var (
	errNoAddress = errors.New("loopback: no free address")
	errNoOctet   = errors.New("loopback: all ranges of addresses are reserved")
)

// freeTries is the number of addresses that FreeAddress has tried.
var freeTries atomic.Uint32

// FreeAddress returns an address that nobody listens on, and that FreeAddress returns to nobody else: it is derived from the id of this process.
func FreeAddress() (string, error) {
	pid := uint32(os.Getpid())
	for range maxFreeTries {
		number := freeTries.Add(1)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", firstFreeOctet+pid%freeOctets, pid/freeOctets%256, 1+number%hostsPerPort,
			firstFreePort+number/hostsPerPort))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", errNoAddress
}

// reservation is a range of addresses that this process has for itself while its listener is open.
type reservation struct {
	octet    int
	listener net.Listener
}

// reserve reserves the first range from an index on, modulo their number, that no process has.
func reserve(first int) (reservation, error) {
	for i := range reservedOctets {
		octet := firstReservedOctet + (first+i)%reservedOctets
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%s:%d", octet, reservationLocal, reservationPort))
		if err == nil {
			return reservation{octet, l}, nil
		}
	}
	return reservation{}, errNoOctet
}

// processReservation is kept until the process ends.
var processReservation = sync.OnceValues(func() (reservation, error) { return reserve(os.Getpid()) })

// Octet returns the second byte of the addresses 127.OCTET.0.0/16, which no other process uses that asks for its own in this way. It panics if none is
// left, as nothing can be tried then.
func Octet() int {
	r, err := processReservation()
	if err != nil {
		panic(err)
	}
	return r.octet
}
