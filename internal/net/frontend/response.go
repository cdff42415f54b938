package frontend

import (
	"net/http"
	"strconv"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

const defaultContentType = "application/octet-stream"

// writeAnswer writes a final answer that is not streamed.
func writeAnswer(w http.ResponseWriter, answer dispatch.Answer) {
	switch answer.Outcome {
	case dispatch.Served:
		writeResponse(w, http.StatusOK, contentType(answer), answer.Body)
	case dispatch.Rejected:
		if answer.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', -1, 64))
		}
		writePlain(w, http.StatusServiceUnavailable, "deferred: a retry is harmless")
	default:
		writePlain(w, http.StatusBadGateway, "abandoned: it may have run")
	}
}

func contentType(answer dispatch.Answer) string {
	if answer.ContentType == "" {
		return defaultContentType
	}
	return answer.ContentType
}

// writeStreamHeader writes the head of an answer that is streamed.
func writeStreamHeader(w http.ResponseWriter, answer dispatch.Answer) {
	if answer.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	w.Header().Set("Content-Type", contentType(answer))
	w.WriteHeader(http.StatusOK)
}

func writePlain(w http.ResponseWriter, status int, text string) {
	writeResponse(w, status, "text/plain; charset=utf-8", []byte(text+"\n"))
}

func writeResponse(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a client that has disconnected is reported by the request's context
}
