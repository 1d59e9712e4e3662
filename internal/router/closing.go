package router

import (
	"net/http"

	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/messenger"
)

// closingDialect is a dialect whose refusals end the caller's connection while closing
// says so. It answers a flood on connections that are open already: a router that turns
// new connections away is relieved only if those that it refuses give theirs up.
type closingDialect struct {
	dispatcher.Dialect
	shouldClose func() bool
}

// closer is a caller whose connection can be ended after the answer.
type connectionCloser interface{ CloseAfterResponse() }

// WriteProblem answers a caller that gets no upstream's answer.
func (d closingDialect) WriteProblem(w http.ResponseWriter, req *dispatcher.Request, p explainer.Document) error {
	if c, ok := w.(connectionCloser); ok && isOverloadRefusal(p) && d.shouldClose() {
		c.CloseAfterResponse()
	}
	return d.Dialect.WriteProblem(w, req, p)
}

// isRefusal reports whether a problem is one of load: the request did not run, and may be
// sent again.
func isOverloadRefusal(p explainer.Document) bool {
	return p.Run == messenger.NotRun && (p.Status == http.StatusServiceUnavailable || p.Status == http.StatusTooManyRequests)
}
