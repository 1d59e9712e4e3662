package verifier

import (
	"io"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrHead means that the status line or the header of a response violates RFC 9112.
var ErrHead = merry.Sentinel("head of the response is malformed")

// headState is what the next byte of a head belongs to.
type headState uint8

const (
	// headDone is the state outside of heads. Bytes are not checked.
	headDone headState = iota
	inStatusLine
	atLineStart
	inName
	inValue
	// expectLF and expectLastLF are the states between the CR and the LF of a line, or of the blank
	// line that ends the head.
	expectLF
	expectLastLF
	headMalformed
)

// HeadReader passes on what it reads and checks the heads of responses in it. It fails with
// ErrHead if a line
//   - has a field name that is no token (RFC 9110 section 5.1), because it is empty or contains a
//     space or a control character, for example,
//   - is folded: it starts with a space or a tab (obs-fold, RFC 9112 section 5.2),
//   - contains a control character other than a tab, or
//   - ends in a bare LF although the lines before end in CRLF, or the reverse.
//
// Parsers differ in what they make of such lines. The parser of net/http may take one for another
// field than the server meant, or take a part of the head for the body.
type HeadReader struct {
	r     io.Reader
	state headState
	// lineEndKnown is true once the status line has ended; bareLF is true if it ended in LF alone.
	lineEndKnown, bareLF bool
}

// NewHeadReader returns a HeadReader that reads from r.
func NewHeadReader(r io.Reader) *HeadReader { return &HeadReader{r: r} }

// Begin starts to check the head of a response. It may be called again once that head has ended.
// buffered are those of its bytes that were read already.
func (h *HeadReader) Begin(buffered []byte) error {
	*h = HeadReader{r: h.r, state: inStatusLine}
	return h.check(buffered)
}

// Read implements io.Reader.
func (h *HeadReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if h.state == headDone {
		return n, err
	}
	if err := h.check(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// check checks the bytes of p that belong to the head.
func (h *HeadReader) check(p []byte) error {
	for _, c := range p {
		if h.state == headDone {
			return nil
		}
		h.state = h.next(c)
		if h.state == headMalformed {
			return ErrHead
		}
	}
	return nil
}

// next returns the state after the byte c.
func (h *HeadReader) next(c byte) headState {
	switch {
	case h.state == headMalformed:
		return headMalformed
	case c == '\r':
		return h.afterCR()
	case c == '\n':
		return h.afterLF()
	case h.state == expectLF, h.state == expectLastLF:
		return headMalformed
	case h.state == atLineStart, h.state == inName:
		return afterNameByte(c, h.state)
	case isControl(c) && c != '\t':
		return headMalformed
	}
	return h.state
}

// afterCR returns the state after a CR.
func (h *HeadReader) afterCR() headState {
	if h.bareLF {
		return headMalformed
	}
	switch h.state {
	case inStatusLine, inValue:
		return expectLF
	case atLineStart:
		return expectLastLF
	}
	return headMalformed
}

// afterLF returns the state after a LF.
func (h *HeadReader) afterLF() headState {
	withCR := h.state == expectLF || h.state == expectLastLF
	if !h.lineEndKnown {
		h.lineEndKnown, h.bareLF = true, !withCR
	}
	if withCR == h.bareLF {
		return headMalformed
	}
	switch h.state {
	case inStatusLine, inValue, expectLF:
		return atLineStart
	case atLineStart, expectLastLF:
		return headDone
	}
	return headMalformed
}

// afterNameByte returns the state after a byte at the start of a line or in a field name.
func afterNameByte(c byte, state headState) headState {
	switch {
	case isNameByte(c):
		return inName
	case c == ':' && state == inName:
		return inValue
	}
	return headMalformed
}

// isNameByte reports whether c may be part of a field name (RFC 9110 section 5.6.2).
func isNameByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// CheckNames returns ErrHead if a field name is no token. The parser of net/http accepts names that
// contain a space.
func CheckNames(h http.Header) error {
	for name := range h {
		for i := range len(name) {
			if !isNameByte(name[i]) {
				return merry.Prependf(ErrHead, "field %q", name)
			}
		}
	}
	return nil
}

func isControl(c byte) bool { return c < ' ' || c == '\x7f' }
