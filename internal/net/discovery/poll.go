package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/kernel"
)

const (
	listPath = "/discovery/hosts"

	pollTimeout       = 2500 * time.Millisecond // the service answers or rejects a poll within 2 s
	connectTimeout    = 1 * time.Second         // also limits a connect that continues after its poll was canceled
	idleConnTimeout   = 30 * time.Second
	maxConnsPerHost   = 9 // connects that hang for connectTimeout, started every 0.15 s, plus one for a switch and one for a watch
	maxIdleConns      = 1
	maxListBytes      = 8 << 20 // about 67,000 endpoints
	maxHeaderBytes    = 16 << 10
	transportFaultTag = "list" // identifies this package's connections to the fault injector
)

var (
	errIncompleteList = errors.New("discovery service answered with changes, expected the full endpoint list")
	errVersionGap     = errors.New("discovery service answered with an older version than the last, changes in between are unknown")
	errOverloaded     = errors.New("discovery service answered 503")
	errListTooLong    = fmt.Errorf("endpoint list is longer than %d bytes", maxListBytes)
)

// statusError is an HTTP status other than 200 and 503.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("discovery service answered %d", int(e)) }

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:            faults.CountDialer(transportFaultTag, kernel.InjectConnErrors(dialer.DialContext)),
		DisableCompression:     true,
		MaxConnsPerHost:        maxConnsPerHost,
		MaxIdleConns:           maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// watchQuery returns the query of a long poll: the service answers when there are changes since version, or when wait has passed.
func watchQuery(version int64, wait time.Duration) string {
	return fmt.Sprintf("?from=%d&hold_ms=%d", version, wait.Milliseconds())
}

// fetchList makes one call, a poll or a watch, to the discovery service at address.
func (c *Client) fetchList(ctx context.Context, address, query string, timeout time.Duration) (endpointList, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+listPath+query, nil)
	if err != nil {
		return endpointList{}, err
	}
	resp, err := c.transport.RoundTrip(request)
	if err != nil {
		return endpointList{}, err
	}
	defer resp.Body.Close()
	return readList(resp)
}

func readList(resp *http.Response) (endpointList, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	switch {
	case err != nil:
		return endpointList{}, err
	case resp.StatusCode == http.StatusServiceUnavailable:
		return endpointList{}, errOverloaded
	case resp.StatusCode != http.StatusOK:
		return endpointList{}, statusError(resp.StatusCode)
	case len(body) > maxListBytes:
		return endpointList{}, errListTooLong
	}
	return parseList(body)
}
