package listener

import (
	"encoding/json"
	"fmt"
	"net/http"

	"lentilwood.example/lentilwood/internal/messenger"
)

// problem is an RFC 9457 document about a request that no handler saw.
type problem struct {
	status int
	kind   string
	detail string
}

// ProblemPrefix starts the type of every problem document.
const ProblemPrefix = "urn:lentilwood:problem:"

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

// retryAfterSeconds is when a caller that met too many connections may return.
const retryAfterSeconds = 1

// encode returns the whole answer as bytes for the connection.
func (p problem) encode() []byte {
	body, err := json.Marshal(struct {
		Type   string             `json:"type"`
		Title  string             `json:"title"`
		Status int                `json:"status"`
		Detail string             `json:"detail"`
		Run    messenger.RunState `json:"run"`
	}{ProblemPrefix + p.kind, http.StatusText(p.status), p.status, p.detail, messenger.NotRun})
	if err != nil {
		return nil
	}
	retry := ""
	if p.status == http.StatusServiceUnavailable || p.status == http.StatusTooManyRequests {
		retry = fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds)
	}
	return fmt.Appendf(nil,
		"HTTP/1.1 %d %s\r\nContent-Type: application/problem+json\r\nContent-Length: %d\r\n%s: %s\r\n%sConnection: close\r\n\r\n%s",
		p.status, http.StatusText(p.status), len(body), messenger.RunHeader, messenger.NotRun, retry, body)
}
