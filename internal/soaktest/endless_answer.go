package soaktest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// endless is the behavior of a server whose answer begins and never ends. It is drawn apart from serverFaults.
const endless behavior = "endless answer"

// longAnswerBytes is the size above which the time of an answer is that of its first bytes.
const longAnswerBytes = 64 << 10

// endlessAnswer is the form of an answer that never ends: pieces with a pause after each, and after the last one silence.
type endlessAnswer struct {
	framing    string
	pieceBytes int
	pause      time.Duration
	pieces     int // 0: no limit
}

// The framings of an endless answer.
const (
	framingChunked     = "chunked"
	framingUntilClose  = "until close" // the answer would end with the connection
	framingLength      = "length"
	framingProvisional = "provisional" // provisional answers, and no final one
)

// drawEndlessAnswer draws the form of an endless answer.
func drawEndlessAnswer(rng *rand.Rand) endlessAnswer {
	return endlessAnswer{
		framing:    randomChoice(rng, framingChunked, framingChunked, framingUntilClose, framingUntilClose, framingLength, framingProvisional),
		pieceBytes: randomChoice(rng, 1, 100, 4000, 20000),
		pause:      randomDuration(rng, 5*time.Millisecond, 300*time.Millisecond),
		pieces:     randomChoice(rng, 0, 0, 1, 2, 10),
	}
}

// mayBecomeLong reports whether the answer goes on so quickly that a node may take it for a long one, whose first bytes are timed.
func (e endlessAnswer) mayBecomeLong() bool {
	const slowPace = 8 << 10 // bytes per second
	return e.pieces != 1 && e.pieces != 2 && float64(e.pieceBytes) > slowPace*e.pause.Seconds()
}

// headAndPiece returns the bytes before the first piece, and those of each piece.
func (e endlessAnswer) headAndPiece() (head, piece string) {
	const ok = "HTTP/1.1 200 OK\r\n"
	body := strings.Repeat("e", e.pieceBytes)
	switch e.framing {
	case framingChunked:
		return ok + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	case framingLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", ok, longAnswerBytes), body
	case framingProvisional:
		return "", "HTTP/1.1 103 Early Hints\r\n\r\n"
	default:
		return ok + "\r\n", body
	}
}

// send writes the answer until the node has closed the connection.
func (e endlessAnswer) send(w io.Writer, closed <-chan struct{}) {
	head, piece := e.headAndPiece()
	_, err := io.WriteString(w, head)
	sentBytes := 0
	for i := 0; err == nil && (e.pieces == 0 || i < e.pieces); i++ {
		if e.framing == framingLength && sentBytes+len(piece) >= longAnswerBytes {
			break // the next piece would complete the answer
		}
		_, err = io.WriteString(w, piece)
		sentBytes += len(piece)
		select {
		case <-closed:
			return
		case <-time.After(e.pause):
		}
	}
	if err == nil {
		<-closed
	}
}
