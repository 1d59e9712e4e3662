// Package explainer writes the answers that tell a caller why a request was
// not served: problem documents of RFC 9457 that say as well whether the
// request was run.
//
// # Usage
//
//	d := explainer.New("queue-full", "The queue is full", http.StatusTooManyRequests, messenger.StateNotRun)
//	d.RetryAfter = 3 * time.Second
//	err := d.Write(w)
package explainer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// ContentType is the media type of a problem document.
	ContentType = "application/problem+json"
	// TypePrefix starts the type of every problem document; the problem's name
	// follows. Types are stable.
	TypePrefix = "urn:lentilwood:problem:"
	// RetryAfterHeader says when a caller may come back.
	RetryAfterHeader = "Retry-After"
)

// Document is one problem document.
type Document struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Run says whether the request was run.
	Run messenger.RunState `json:"run"`
	// RetryAfter is when the caller may come back; zero says nothing of it.
	RetryAfter time.Duration `json:"-"`
}

// New returns the document of the problem called name.
func New(name, title string, status int, run messenger.RunState) Document {
	return Document{Type: TypePrefix + name, Title: title, Status: status, Run: run}
}

// Body returns the document in JSON.
func (d Document) Body() []byte {
	body, err := json.Marshal(d)
	if err != nil {
		panic(err) // strings and numbers can always be written
	}
	return body
}

// RetryAfterSeconds returns RetryAfter in whole seconds, rounded up, at least 1.
func (d Document) RetryAfterSeconds() int {
	return max(1, int((d.RetryAfter+time.Second-1)/time.Second))
}

// Write answers a caller with the document. Headers that were set before stay.
func (d Document) Write(w http.ResponseWriter) error {
	body := d.Body()
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(messenger.RunHeader, string(d.Run))
	if d.RetryAfter > 0 {
		h.Set(RetryAfterHeader, strconv.Itoa(d.RetryAfterSeconds()))
	}
	w.WriteHeader(d.Status)
	_, err := w.Write(body)
	return err
}
