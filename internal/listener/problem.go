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
}

var (
	problemHeaders  = problem{http.StatusRequestHeaderFieldsTooLarge, "headers-too-large", "The request line and headers are larger than this port allows."}
	problemBody     = problem{http.StatusRequestEntityTooLarge, "body-too-large", "The body is larger than this port allows."}
	problemTimeout  = problem{http.StatusRequestTimeout, "request-timeout", "The request did not arrive in time."}
	problemVersion  = problem{http.StatusHTTPVersionNotSupported, "version", "Only HTTP/1.1 and HTTP/1.0 are served."}
	problemMethod   = problem{http.StatusNotImplemented, "method", "The method is not known here."}
	problemCoding   = problem{http.StatusNotImplemented, "transfer-coding", "The only transfer coding served is chunked."}
	problemExpect   = problem{http.StatusExpectationFailed, "expectation", "The only expectation met is 100-continue."}
	problemFull     = problem{http.StatusServiceUnavailable, "too-many-connections", "Too many connections are open."}
	problemPipeline = problem{http.StatusTooManyRequests, "pipeline-too-long", "Too many requests wait on this connection."}
)

func malformed(detail string) *problem {
	return &problem{http.StatusBadRequest, "malformed-request", detail}
}

// retryAfter is when a caller that met too many connections may return.
const retryAfter = time.Second

// document returns the problem as callers get it.
func (p problem) document() explainer.Document {
	d := explainer.New(p.kind, http.StatusText(p.status), p.status, messenger.NotRun)
	d.Detail = p.detail
	if p.status == http.StatusServiceUnavailable || p.status == http.StatusTooManyRequests {
		d.RetryAfter = retryAfter
	}
	return d
}

// encode returns the whole answer as bytes for the connection.
func (p problem) encode() []byte {
	d := p.document()
	body := d.Body()
	retry := ""
	if d.RetryAfter > 0 {
		retry = fmt.Sprintf("%s: %d\r\n", explainer.RetryAfterHeader, d.RetryAfterSeconds())
	}
	return fmt.Appendf(nil,
		"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n%s: %s\r\n%sConnection: close\r\n\r\n%s",
		p.status, http.StatusText(p.status), explainer.ContentType, len(body), messenger.RunHeader, messenger.NotRun, retry, body)
}
