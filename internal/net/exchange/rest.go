package exchange

import (
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Rest is what of a long body is passed on as it comes, to one server only: it can't be read twice.
type Rest struct {
	since        time.Time // when its head had come
	begun, whole atomic.Bool

	mu      sync.Mutex
	change  sync.Cond // of reading
	reading bool      // somebody reads from the client: who carries it, who takes back what is left, or who looks ahead
	from    io.Reader // nil: closed
	ahead   [][]byte  // what was read for nobody yet, in pieces
	held    int       // and its bytes
	of      *atomic.Int64
	err     error // what came behind it
	looking bool  // more may be read ahead
}

const (
	aheadMost  = 4 << 20              // bytes of a body read ahead: more than a kernel holds back behind a full window
	aheadAll   = 8 << 20              // and of all bodies of a node; beyond it nothing is read ahead
	aheadPiece = 16 << 10             // bytes read at a time
	aheadPause = 5 * time.Millisecond // with nothing more, after which all that was on its way has come: some round trips
	aheadLooks = 10                   // such spans at the most: an upload is held up for no longer
)

// NewRest makes one of what is still to be read.
func NewRest(from io.Reader) *Rest {
	r := &Rest{from: from, since: time.Now()}
	r.change.L = &r.mu
	return r
}

func (r *Rest) Read(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.looking = false
	for r.reading && len(r.ahead) == 0 {
		r.change.Wait()
	}
	if r.from == nil {
		return 0, io.ErrClosedPipe
	}
	r.begun.Store(true)
	if len(r.ahead) > 0 {
		n := copy(b, r.ahead[0])
		if r.ahead[0] = r.ahead[0][n:]; len(r.ahead[0]) == 0 {
			r.ahead = r.ahead[1:]
		}
		r.drop(n)
		return n, nil
	}
	n, err := 0, r.err
	if err == nil {
		n, err = r.read(b)
	}
	if errors.Is(err, io.EOF) {
		r.whole.Store(true)
	}
	return n, err
}

// read reads from the client, without the lock meanwhile. Called with it held, when nobody else reads.
func (r *Rest) read(b []byte) (int, error) {
	from := r.from
	r.reading = true
	r.mu.Unlock()
	n, err := from.Read(b)
	r.mu.Lock()
	r.reading = false
	r.change.Broadcast()
	return n, err
}

// drop counts bytes that were read ahead as gone. Called with the lock held.
func (r *Rest) drop(n int) {
	if r.held -= n; r.of != nil {
		r.of.Add(int64(-n))
	}
}

// Ahead reads what has come and nobody waits for yet, and gives up soon where more is to come. Behind a full window a client's end
// can't be seen: it comes only once the bytes before it have been taken. all counts what is held so of all bodies.
func (r *Rest) Ahead(all *atomic.Int64) {
	r.mu.Lock()
	r.of, r.looking = all, !r.begun.Load()
	r.mu.Unlock()
	go r.look()
	for n, last := 0, -1; n < aheadLooks; n++ {
		time.Sleep(aheadPause)
		r.mu.Lock()
		held, more := r.held, r.looking
		r.mu.Unlock()
		if held == last || !more {
			break
		}
		last = held
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.looking = false
}

func (r *Rest) look() {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := make([]byte, aheadPiece)
	for r.looking && !r.reading && r.from != nil && r.err == nil && r.held < aheadMost {
		if r.of.Add(aheadPiece) > aheadAll {
			r.of.Add(-aheadPiece)
			break
		}
		n := 0
		if n, r.err = r.read(b); n > 0 {
			r.ahead = append(r.ahead, slices.Clone(b[:n]))
		}
		r.held += aheadPiece
		r.drop(aheadPiece - n)
	}
	r.looking = false
}

// Close ends reading: nothing of the client's connection is touched from then on.
func (r *Rest) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.looking = false
	for r.reading {
		r.change.Wait()
	}
	r.from, r.ahead = nil, nil
	r.drop(r.held)
}

// Waits gives for how long it has been there to be passed on.
func (r *Rest) Waits() time.Duration { return time.Since(r.since) }

// Begun says that some of it was read, or tried to be.
func (r *Rest) Begun() bool { return r.begun.Load() }

// Whole says that it was read to its end.
func (r *Rest) Whole() bool { return r.whole.Load() }
