package clients

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// Who is turned away holds no place for a body that never comes, where net/http would wait for its end.
func TestWhoIsTurnedAwayHoldsNoPlace(t *testing.T) {
	c, _, address := serve(t, 16, true)
	const put = " HTTP/1.1\r\nHost: h\r\n" + id + "\r\n" + within + "\r\nContent-Length: 1000\r\n"
	began := time.Now()
	for text, want := range map[string]string{
		"PUT /once/k" + put + "\r\n":                                     "413",
		"PUT /once/k" + strings.Replace(put, "1.1", "1.0", 1) + "\r\n":   "505",
		"PUT /once/k" + put + "Transfer-Encoding: chunked\r\n\r\n9\r\nx": "400",
		"PUT /once/k" + put + "Expect: wonders\r\n\r\n":                  "417",
		"PUT /up" + put + "\r\n":                                         "200",
	} {
		conn := dial(t, address)
		fmt.Fprint(conn, text)
		defer func() {
			_ = conn.SetReadDeadline(began.Add(4 * time.Second))
			if got, err := io.ReadAll(conn.in); len(got) < 12 || string(got[9:12]) != want || err != nil {
				t.Errorf("%q: %q, %v", text, got, err)
			}
		}()
	}
	for c.Open() > 0 {
		if time.Since(began) > 3500*time.Millisecond {
			t.Fatalf("%d open", c.Open())
		}
		time.Sleep(time.Millisecond)
	}
}
