package listener

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// head holds the properties of a request's head that serverConn needs.
type head struct {
	http10         bool
	chunked        bool
	expectContinue bool
	// length is the value of Content-Length in bytes, or -1 without that header.
	length    int
	hostCount int
}

// maxLengthDigits keeps Content-Length within the range of an int64.
const maxLengthDigits = 18

// methods are the request methods that are served.
var methods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true,
}

// checkHead parses a request line and headers, including the line breaks and the final empty
// line, and rejects heads that RFC 9112 calls malformed or leaves ambiguous. Where the RFC lets
// a server choose between accepting and rejecting, checkHead rejects.
func checkHead(raw []byte) (head, *problem) {
	h := head{length: -1}
	for i, c := range raw {
		if c == '\r' && (i+1 == len(raw) || raw[i+1] != '\n') {
			return h, malformed("A carriage return stands alone.")
		}
		if c == '\n' && (i == 0 || raw[i-1] != '\r') {
			return h, malformed("A line feed stands alone.")
		}
	}
	line, rest, _ := bytes.Cut(bytes.TrimSuffix(raw, []byte(headTerminator)), []byte(crlf))
	if p := h.readRequestLine(string(line)); p != nil {
		return h, p
	}
	for more := len(rest) > 0; more; {
		line, rest, more = bytes.Cut(rest, []byte(crlf))
		if p := h.readHeader(line); p != nil {
			return h, p
		}
	}
	if h.hostCount > 1 || h.hostCount == 0 && !h.http10 {
		return h, malformed("Exactly one Host header is needed.")
	}
	if h.chunked && h.length >= 0 {
		return h, malformed("Content-Length and Transfer-Encoding exclude each other.")
	}
	if h.chunked && h.http10 {
		return h, malformed("HTTP/1.0 has no Transfer-Encoding.")
	}
	return h, nil
}

func (h *head) readRequestLine(line string) *problem {
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || method == "" || target == "" {
		return malformed("The request line is not method, target and version with one space between.")
	}
	switch version {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.http10 = true
	default:
		if strings.HasPrefix(version, "HTTP/") && !strings.Contains(version, " ") {
			return &problemVersion
		}
		return malformed("The request line has no HTTP version.")
	}
	if !isToken(method) {
		return malformed("The method is not a token.")
	}
	if !methods[method] {
		return &problemMethod
	}
	return checkTarget(method, target)
}

func checkTarget(method, target string) *problem {
	if target == "*" && method == "OPTIONS" {
		return nil
	}
	if target[0] != '/' {
		return malformed("The target does not start with a slash.")
	}
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c >= 0x7f || c == '#' {
			return malformed("The target has a character that must be escaped.")
		}
	}
	return nil
}

func (h *head) readHeader(line []byte) *problem {
	if len(line) == 0 {
		return malformed("A header line is empty.")
	}
	if line[0] == ' ' || line[0] == '\t' {
		return malformed("A header is folded over two lines.")
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return malformed("A header's name is not a token followed by a colon.")
	}
	value = bytes.Trim(value, " \t")
	if !isFieldValue(value) {
		return malformed("A header's value has a control character.")
	}
	return h.readFraming(name, value)
}

// readFraming evaluates Host, Expect and the headers that frame the request's body.
func (h *head) readFraming(name, value []byte) *problem {
	switch {
	case equalFold(name, "Host"):
		h.hostCount++
		return checkHost(string(value))
	case equalFold(name, "Content-Length"):
		return h.readContentLength(string(value))
	case equalFold(name, "Transfer-Encoding"):
		return h.readTransferCoding(string(value))
	case equalFold(name, "Trailer"):
		return malformed("Trailer fields are not served.")
	case equalFold(name, "Expect"):
		if !equalFold(value, "100-continue") {
			return &problemExpectation
		}
		h.expectContinue = true
	}
	return nil
}

// equalFold compares ASCII strings case-insensitively without allocating.
func equalFold(got []byte, want string) bool {
	return len(got) == len(want) && strings.EqualFold(string(got), want)
}

func (h *head) readContentLength(value string) *problem {
	if h.length >= 0 {
		return malformed("Content-Length is given twice.")
	}
	if value == "" || strings.Trim(value, "0123456789") != "" {
		return malformed("Content-Length is not a number.")
	}
	if len(value) > maxLengthDigits {
		return &problemBodyTooLarge
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		return &problemBodyTooLarge
	}
	h.length = n
	return nil
}

func (h *head) readTransferCoding(value string) *problem {
	if h.chunked {
		return malformed("Transfer-Encoding is given twice.")
	}
	if !strings.EqualFold(value, "chunked") {
		return &problemTransferCoding
	}
	h.chunked = true
	return nil
}

func checkHost(value string) *problem {
	if strings.ContainsAny(value, " \t/?#@,\\<>\"{}|^`") {
		return malformed("The Host header is not a host.")
	}
	return nil
}

func isToken[T ~string | ~[]byte](s T) bool {
	if len(s) == 0 {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return true
}

func isFieldValue[T ~string | ~[]byte](s T) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// parsePartialHeader returns the header lines of a request head that are complete in raw. It
// does not validate them: they are only used to identify the sender.
func parsePartialHeader(raw []byte) http.Header {
	h := make(http.Header)
	_, rest, _ := bytes.Cut(raw, []byte(crlf))
	for {
		line, remainder, complete := bytes.Cut(rest, []byte(crlf))
		if !complete || len(line) == 0 {
			return h
		}
		if name, value, ok := bytes.Cut(line, []byte(":")); ok {
			h.Add(string(name), strings.Trim(string(value), " \t"))
		}
		rest = remainder
	}
}
