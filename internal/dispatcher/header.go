package dispatcher

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"lentilwood.example/lentilwood/internal/messenger"
)

// hopHeaders are the hop-by-hop fields of RFC 9110 section 7.6.1, and the framing fields,
// which each connection sets for itself.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// spareHeaderFields is the capacity reserved for fields added to a forwarded header.
const spareHeaderFields = 4

// privateHeaders are request fields that only the router uses. They are not forwarded to
// upstreams.
var privateHeaders = []string{
	"Authorization", messenger.ClassHeader, messenger.CostHintHeader,
	messenger.DeadlineHeader, messenger.PrefixHeader, messenger.RunHeader,
	messenger.FenceHeader, "Expect", "Host",
}

// Forwardable returns a copy of h without hop-by-hop fields. It shares the values with h,
// which keeps the copy cheap.
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

// upstreamHeader returns the header of req as sent to an upstream.
func upstreamHeader(req *Request) http.Header {
	h := Forwardable(req.Header)
	for _, name := range privateHeaders {
		h.Del(name)
	}
	h.Del(messenger.LastEventIDHeader)
	h.Set(messenger.RequestIDHeader, req.WireID)
	return h
}
