package listener

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/messenger"
)

// problem describes why a request or connection is rejected before any handler is called. It is
// sent as an RFC 9457 document.
type problem struct {
	status int
	kind   string
	detail string
}

var (
	problemHeadersTooLarge = problem{http.StatusRequestHeaderFieldsTooLarge, "headers-too-large", "The request line and headers are larger than this port allows."}
	problemBodyTooLarge    = problem{http.StatusRequestEntityTooLarge, "body-too-large", "The body is larger than this port allows."}
	problemTimeout         = problem{http.StatusRequestTimeout, "request-timeout", "The request did not arrive in time."}
	problemVersion         = problem{http.StatusHTTPVersionNotSupported, "version", "Only HTTP/1.1 and HTTP/1.0 are served."}
	problemMethod          = problem{http.StatusNotImplemented, "method", "The method is not known here."}
	problemTransferCoding  = problem{http.StatusNotImplemented, "transfer-coding", "The only transfer coding served is chunked."}
	problemExpectation     = problem{http.StatusExpectationFailed, "expectation", "The only expectation met is 100-continue."}
	problemTooManyConns    = problem{http.StatusServiceUnavailable, "too-many-connections", "Too many connections are open."}
	problemOverload        = problem{http.StatusServiceUnavailable, "overloaded", "This router is short of processor time."}
	problemNoRoom          = problem{http.StatusServiceUnavailable, "no-room", "This router has no memory left for the request."}
	problemPipelineTooLong = problem{http.StatusTooManyRequests, "pipeline-too-long", "Too many requests wait on this connection."}
)

func malformed(detail string) *problem {
	return &problem{status: http.StatusBadRequest, kind: "malformed-request", detail: detail}
}

const (
	// retryAfter is the Retry-After for callers rejected because of too many connections, too
	// little memory or too many pipelined requests.
	retryAfter = time.Second
	// maxOverloadRetryAfter bounds the Retry-After sent by an overloaded router. Client-side
	// load balancing sends the caller back to the same router and an overload lasts for
	// seconds, so the retries are spread from retryAfter up to this bound.
	maxOverloadRetryAfter = 3 * time.Second
)

// document returns the problem document to send.
func (p problem) document() explainer.Document {
	d := explainer.New(p.kind, http.StatusText(p.status), p.status, messenger.StateNotRun)
	d.Detail = p.detail
	if p.status == http.StatusServiceUnavailable || p.status == http.StatusTooManyRequests {
		d.RetryAfter = retryAfter
	}
	return d
}

// overloadResponses holds the encoded responses of an overloaded router, one for each
// Retry-After in seconds.
var overloadResponses = encodeOverloadResponses()

func encodeOverloadResponses() [][]byte {
	var responses [][]byte
	for delay := retryAfter; delay <= maxOverloadRetryAfter; delay += time.Second {
		d := problemOverload.document()
		d.RetryAfter = delay
		responses = append(responses, encodeResponse(d))
	}
	return responses
}

// tooManyConnsResponse is encoded once, because it is sent while the router is under high load.
var tooManyConnsResponse = encodeResponse(problemTooManyConns.document())

// response returns the complete HTTP response as bytes.
func (p problem) response() []byte {
	switch p.kind {
	case problemOverload.kind:
		return overloadResponses[rand.IntN(len(overloadResponses))]
	case problemTooManyConns.kind:
		return tooManyConnsResponse
	}
	return encodeResponse(p.document())
}

// encodeResponse encodes a document as an HTTP response that closes the connection.
func encodeResponse(d explainer.Document) []byte {
	body := d.Body()
	retryHeader := ""
	if d.RetryAfter > 0 {
		retryHeader = fmt.Sprintf("%s: %d\r\n", explainer.RetryAfterHeader, d.RetryAfterSeconds())
	}
	return fmt.Appendf(nil,
		"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n%s: %s\r\n%sConnection: close\r\n\r\n%s",
		d.Status, http.StatusText(d.Status), explainer.ContentType, len(body), messenger.RunHeader, messenger.StateNotRun, retryHeader, body)
}
