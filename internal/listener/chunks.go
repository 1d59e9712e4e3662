package listener

import (
	"bytes"
	"strings"
)

// maxChunkLineBytes bounds the line with a chunk's size.
const maxChunkLineBytes = 256

// consumeChunkSize collects and checks the line with a chunk's size.
func (sc *serverConn) consumeChunkSize(data []byte) []byte {
	line, rest := sc.consumeLine(data)
	if line == nil {
		return nil
	}
	size, p := parseChunkSize(line)
	if p == nil && size > sc.l.cfg.MaxBodyBytes-sc.bodyBytes {
		p = &problemBodyTooLarge
	}
	if p != nil {
		sc.reject(*p)
		return nil
	}
	sc.bodyBytes += size
	sc.remainingBytes = size
	sc.state = stateChunkData
	if size == 0 {
		sc.state = stateLastChunk
	}
	return rest
}

// consumeChunkEnd collects the line break that follows the data of a chunk.
func (sc *serverConn) consumeChunkEnd(data []byte) []byte {
	if len(sc.partial) == 0 && data[0] != '\r' {
		sc.reject(*malformed("A chunk's data is not followed by a line break."))
		return nil
	}
	line, rest := sc.consumeLine(data)
	if line == nil {
		return nil
	}
	if string(line) != crlf {
		sc.reject(*malformed("A chunk's data is not followed by a line break."))
		return nil
	}
	sc.state = stateChunkSize
	return rest
}

// consumeLastChunk collects the empty line that follows the chunk of size zero. Trailer fields
// are rejected.
func (sc *serverConn) consumeLastChunk(data []byte) []byte {
	line, rest := sc.consumeLine(data)
	if line == nil {
		return nil
	}
	if string(line) != crlf {
		sc.reject(*malformed("Trailer fields are not served."))
		return nil
	}
	sc.state = stateHead
	sc.completeRequest(nil)
	return rest
}

// consumeLine returns the next line including its line break, and the bytes after it. It
// returns nil while the line is incomplete. The line is valid until data is reused.
func (sc *serverConn) consumeLine(data []byte) (line, rest []byte) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		sc.partial = append(sc.partial, data...)
		if len(sc.partial) > maxChunkLineBytes {
			sc.reject(*malformed("A chunk's first line is too long."))
		}
		return nil, nil
	}
	if len(sc.partial) == 0 {
		return data[:end+1], data[end+1:]
	}
	line = sc.partial
	sc.partial = nil
	return append(line, data[:end+1]...), data[end+1:]
}

func parseChunkSize(line []byte) (int, *problem) {
	text, ok := strings.CutSuffix(string(line), crlf)
	digits, extension, _ := strings.Cut(text, ";")
	if !ok || digits == "" || len(digits) > 2*8-1 || !isFieldValue(extension) {
		return 0, malformed("A chunk's first line is malformed.")
	}
	size := 0
	for i := range len(digits) {
		value := hexValue(digits[i])
		if value < 0 {
			return 0, malformed("A chunk's size is not a hexadecimal number.")
		}
		size = size<<4 | value
	}
	return size, nil
}

// hexValue returns the value of a hexadecimal digit, or -1.
func hexValue(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
