package listener

import (
	"fmt"
	"net/http"
	"time"

	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/messenger"
)

// problem is an RFC 9457 document about a request that no handler saw.
type problem struct {
	status int
	kind   string
	detail string
	// elsewhere is true if the caller may try another router at once.
	elsewhere bool
}

var (
	problemHeaders  = problem{http.StatusRequestHeaderFieldsTooLarge, "headers-too-large", "The request line and headers are larger than this port allows.", false}
	problemBody     = problem{http.StatusRequestEntityTooLarge, "body-too-large", "The body is larger than this port allows.", false}
	problemTimeout  = problem{http.StatusRequestTimeout, "request-timeout", "The request did not arrive in time.", false}
	problemVersion  = problem{http.StatusHTTPVersionNotSupported, "version", "Only HTTP/1.1 and HTTP/1.0 are served.", false}
	problemMethod   = problem{http.StatusNotImplemented, "method", "The method is not known here.", false}
	problemCoding   = problem{http.StatusNotImplemented, "transfer-coding", "The only transfer coding served is chunked.", false}
	problemExpect   = problem{http.StatusExpectationFailed, "expectation", "The only expectation met is 100-continue.", false}
	problemFull     = problem{http.StatusServiceUnavailable, "too-many-connections", "Too many connections are open.", false}
	problemOverload = problem{http.StatusServiceUnavailable, "overloaded", "This router is overloaded; others may not be.", true}
	problemPipeline = problem{http.StatusTooManyRequests, "pipeline-too-long", "Too many requests wait on this connection.", false}
)

func malformed(detail string) *problem {
	return &problem{status: http.StatusBadRequest, kind: "malformed-request", detail: detail}
}

// retryAfter is when a caller that met too many connections may return.
const retryAfter = time.Second

// document returns the problem as callers get it.
func (p problem) document() explainer.Document {
	d := explainer.New(p.kind, http.StatusText(p.status), p.status, messenger.NotRun)
	d.Detail = p.detail
	if !p.elsewhere && (p.status == http.StatusServiceUnavailable || p.status == http.StatusTooManyRequests) {
		d.RetryAfter = retryAfter
	}
	return d
}

// encodedProblems holds the answers of the problems that an acceptor meets.
var encodedProblems = map[string][]byte{
	problemFull.kind:     problemFull.encode(),
	problemOverload.kind: problemOverload.encode(),
}

// encoded returns encode's result, made once for the problems of an acceptor.
func (p problem) encoded() []byte {
	if raw, ok := encodedProblems[p.kind]; ok {
		return raw
	}
	return p.encode()
}

// encode returns the whole answer as bytes for the connection.
func (p problem) encode() []byte {
	d := p.document()
	body := d.Body()
	retry := ""
	if p.elsewhere {
		retry = explainer.RetryAfterHeader + ": 0\r\n"
	}
	if d.RetryAfter > 0 {
		retry = fmt.Sprintf("%s: %d\r\n", explainer.RetryAfterHeader, d.RetryAfterSeconds())
	}
	return fmt.Appendf(nil,
		"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n%s: %s\r\n%sConnection: close\r\n\r\n%s",
		p.status, http.StatusText(p.status), explainer.ContentType, len(body), messenger.RunHeader, messenger.NotRun, retry, body)
}
