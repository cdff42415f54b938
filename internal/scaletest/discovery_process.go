//go:build faults

package scaletest

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/faulttest"
)

// RunDiscovery runs the simulated discovery service on an address. It handles the commands from in and writes the responses to out,
// until in ends or ctx is done.
func RunDiscovery(ctx context.Context, in io.Reader, out io.Writer, address string) error {
	runtime.GOMAXPROCS(2)
	var discovery *DiscoveryServer
	var server *http.Server
	listen := func() error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server = &http.Server{Handler: discovery}
		go func() { _ = server.Serve(countingListener{l}) }()
		return nil
	}
	commandsDone := make(chan error, 1)
	go func() {
		commandsDone <- serveCommands(in, out, func(c command) (answer response) {
			var err error
			switch c.Name {
			case "open":
				discovery = NewDiscoveryServer(c.Entries)
				err = listen()
			case "change":
				answer.BootTimeNs = faulttest.BootTimeNs()
				answer.Version = discovery.ChangeEntries(c.Entries)
			case "close":
				err = server.Close()
			case "open again":
				answer.BootTimeNs = faulttest.BootTimeNs()
				err = listen()
			case "use":
				usage, counts := faults.MeasureUsage(), discovery.CallCounts()
				answer.Usage, answer.CallCounts = &usage, &counts
			default:
				err = errors.New("unknown command " + c.Name)
			}
			if err != nil {
				answer.Error = err.Error()
			}
			return answer
		})
	}()
	select {
	case err := <-commandsDone:
		return err
	case <-ctx.Done():
		return nil
	}
}

// countingListener counts the traffic of its connections.
type countingListener struct{ net.Listener }

// Accept waits for the next connection and counts its traffic as that of the endpoint list.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return faults.CountConn("list", c), nil
}
