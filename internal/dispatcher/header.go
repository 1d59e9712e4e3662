package dispatcher

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"lentilwood.example/lentilwood/internal/messenger"
)

// hopHeaders are the fields that RFC 9110 section 7.6.1 confines to one
// connection, and the framing fields, which each side writes for itself.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// headerSpare is how many fields are usually added to those of a caller.
const spareHeaderFields = 4

// privateHeaders are meant for lentilwood and go no further.
var privateHeaders = []string{
	"Authorization", messenger.ClassHeader, messenger.CostHintHeader,
	messenger.DeadlineHeader, messenger.PrefixHeader, messenger.RunHeader,
	messenger.FenceHeader, "Expect", "Host",
}

// Forwardable returns a copy of h without the fields of one connection. The
// values are those of h, so that a copy costs little.
func Forwardable(h http.Header) http.Header {
	out := make(http.Header, len(h)+spareHeaderFields)
	for name, values := range h {
		out[name] = slices.Clip(values)
	}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// upstreamHeader returns the header of req as an upstream is to see it.
func upstreamHeader(req *Request) http.Header {
	h := Forwardable(req.Header)
	for _, name := range privateHeaders {
		h.Del(name)
	}
	h.Del(messenger.LastEventIDHeader)
	h.Set(messenger.RequestIDHeader, req.WireID)
	return h
}
