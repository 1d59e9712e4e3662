// Package explainer writes RFC 9457 problem documents, the responses that tell a caller
// why a request was not served. They also state whether the request was run.
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
	// TypePrefix is the prefix of every problem type; the name of the problem follows.
	// Problem types are stable.
	TypePrefix = "urn:lentilwood:problem:"
	// RetryAfterHeader is the header with the delay in seconds before a retry.
	RetryAfterHeader = "Retry-After"
)

// Document is a problem document.
type Document struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Run states whether the request was run.
	Run messenger.RunState `json:"run"`
	// RetryAfter is the delay before the caller should retry. If zero, the response has no
	// Retry-After header.
	RetryAfter time.Duration `json:"-"`
}

// New returns a document for the problem name, whose type is TypePrefix + name.
func New(name, title string, status int, run messenger.RunState) Document {
	return Document{Type: TypePrefix + name, Title: title, Status: status, Run: run}
}

// Body returns the document as JSON.
func (d Document) Body() []byte {
	body, err := json.Marshal(d)
	if err != nil {
		panic(err) // cannot happen: all fields are strings and numbers
	}
	return body
}

// RetryAfterSeconds returns RetryAfter in whole seconds, rounded up, at least 1.
func (d Document) RetryAfterSeconds() int {
	return max(1, int((d.RetryAfter+time.Second-1)/time.Second))
}

// Write sends the document as the response to w. Other headers that are already set are
// kept.
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
