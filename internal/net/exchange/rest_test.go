package exchange

import (
	"bytes"
	"errors"
	"io"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// bursts gives its bytes in pieces, some after a pause, and then fails or ends.
type bursts struct {
	r    *rand.Rand
	left []byte
	end  error
}

func (s *bursts) Read(b []byte) (int, error) {
	if s.r.Intn(20) == 0 {
		time.Sleep(time.Duration(s.r.Intn(8)) * time.Millisecond)
	}
	n := copy(b[:min(len(b), 1+s.r.Intn(20000))], s.left)
	if s.left = s.left[n:]; len(s.left) == 0 {
		return n, s.end
	}
	return n, nil
}

// What is read ahead comes first and in order, whoever reads beside it, with what came behind it; it is bounded, and what it held is
// given back, also where nobody takes it.
func TestARestReadAhead(t *testing.T) {
	broke := errors.New("broke")
	r := rand.New(rand.NewSource(5))
	var all atomic.Int64
	var rests sync.WaitGroup
	for i := range 60 {
		body := make([]byte, r.Intn(300<<10))
		if i%10 == 0 {
			body = make([]byte, 6<<20)
		}
		_, _ = r.Read(body)
		end := []error{io.EOF, broke}[r.Intn(2)]
		rest := NewRest(&bursts{rand.New(rand.NewSource(int64(i))), body, end})
		again, closes, late := r.Intn(2) == 0, r.Intn(5) == 0, time.Duration(r.Intn(20))*time.Millisecond
		rests.Go(func() {
			defer rest.Close()
			if again {
				rest.Ahead(&all)
			}
			var looks sync.WaitGroup
			defer looks.Wait()
			looks.Go(func() { rest.Ahead(&all) })
			time.Sleep(late)
			if rest.Begun() || rest.Whole() || all.Load() > aheadAll+60*aheadPiece { // each may ask for one too many
				t.Errorf("begun %v, whole %v, %d held", rest.Begun(), rest.Whole(), all.Load())
			}
			if closes {
				return
			}
			got, err := io.ReadAll(rest)
			if want := end; want == io.EOF && err != nil || want == broke && !errors.Is(err, broke) || !bytes.Equal(got, body) {
				t.Errorf("%d of %d bytes, %v", len(got), len(body), err)
			}
			if rest.Whole() != (end == io.EOF) || !rest.Begun() {
				t.Errorf("whole %v, begun %v", rest.Whole(), rest.Begun())
			}
			rest.Ahead(&all) // nothing comes of it
		})
	}
	rests.Wait()
	for by := time.Now().Add(time.Second); all.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("%d bytes are held", all.Load())
		}
	}
}
