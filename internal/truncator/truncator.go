// Package truncator shortens the long strings of a JSON text while the text is read. A reader that
// can't hold a long value still gets all the others, and the text stays valid JSON.
//
// # Usage
//
//	body, err := io.ReadAll(truncator.NewReader(resp.Body, maxBytes))
//
// What follows the first maxBytes of a string is left out up to its closing quote. An escape sequence is
// kept whole or left out. The caller can tell a shortened string by its length, which no string that it
// accepts may have.
package truncator

import (
	"bytes"
	"io"
)

const (
	// bufferBytes is how much is read at once.
	bufferBytes = 32 << 10
	// escapeBytes is the length of an escape sequence, unicodeEscapeBytes that of \uXXXX.
	escapeBytes        = 2
	unicodeEscapeBytes = 6
)

// Reader passes a JSON text on and shortens its strings.
type Reader struct {
	r        io.Reader
	maxBytes int
	inString bool
	// kept counts the bytes of the current string that were passed on. dropping is true once the rest of it
	// is left out.
	kept     int
	dropping bool
	// escape holds an escape sequence that has not ended yet.
	escape []byte
	// buffer receives what is read, room holds what is kept of it, and filtered is the part of room that was
	// not passed on yet. err is what the last read returned.
	buffer, room, filtered []byte
	err                    error
}

// NewReader returns a Reader that passes on at most maxBytes of each string of the text in r.
func NewReader(r io.Reader, maxBytes int) *Reader { return &Reader{r: r, maxBytes: maxBytes} }

// Read implements io.Reader.
func (t *Reader) Read(p []byte) (int, error) {
	for len(t.filtered) == 0 {
		if t.err != nil {
			return 0, t.err
		}
		if t.buffer == nil {
			t.buffer = make([]byte, bufferBytes)
		}
		n := 0
		n, t.err = t.r.Read(t.buffer)
		t.filter(t.buffer[:n])
	}
	n := copy(p, t.filtered)
	t.filtered = t.filtered[n:]
	return n, nil
}

// filter sets filtered to what is passed on of a part of the text.
func (t *Reader) filter(in []byte) {
	out := t.room[:0]
	for len(in) > 0 {
		switch {
		case !t.inString:
			in, out = t.copyOutside(in, out)
		case len(t.escape) > 0 || in[0] == '\\':
			in, out = t.copyEscape(in, out)
		case in[0] == '"':
			t.inString, t.dropping = false, false
			in, out = in[1:], append(out, '"')
		default:
			in, out = t.copyText(in, out)
		}
	}
	t.room, t.filtered = out, out
}

// copyOutside copies up to the quote that begins a string.
func (t *Reader) copyOutside(in, out []byte) (rest, kept []byte) {
	end := bytes.IndexByte(in, '"') + 1
	if end == 0 {
		return nil, append(out, in...)
	}
	t.inString, t.kept = true, 0
	return in[end:], append(out, in[:end]...)
}

// copyText copies what stands before the next quote or backslash, as far as the bound allows.
func (t *Reader) copyText(in, out []byte) (rest, kept []byte) {
	end := bytes.IndexAny(in, `"\`)
	if end < 0 {
		end = len(in)
	}
	n := end
	if t.dropping {
		n = 0
	}
	if t.kept+n > t.maxBytes {
		n, t.dropping = t.maxBytes-t.kept, true
	}
	t.kept += n
	return in[end:], append(out, in[:n]...)
}

// copyEscape copies the next byte of an escape sequence once the sequence is whole.
func (t *Reader) copyEscape(in, out []byte) (rest, kept []byte) {
	t.escape = append(t.escape, in[0])
	length := escapeBytes
	if len(t.escape) >= escapeBytes && t.escape[1] == 'u' {
		length = unicodeEscapeBytes
	}
	if len(t.escape) < length {
		return in[1:], out
	}
	if t.dropping = t.dropping || t.kept+length > t.maxBytes; !t.dropping {
		t.kept += length
		out = append(out, t.escape...)
	}
	t.escape = t.escape[:0]
	return in[1:], out
}
