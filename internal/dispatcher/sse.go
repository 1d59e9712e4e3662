package dispatcher

import (
	"bytes"
	"strconv"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// maxKeptBytes is the largest buffer that a splitter keeps between two events.
const maxKeptBytes = 4 << 10

// sseEvent is one complete server-sent event.
type sseEvent struct {
	// raw is the event as received, including its closing blank line.
	raw []byte
	// id is the numeric id of the event; valid if hasID is set.
	id    uint64
	hasID bool
	data  []byte
}

// sseSplitter splits a byte stream into complete events.
type sseSplitter struct {
	// rest holds the bytes after the last complete event.
	rest []byte
}

// push appends p to the stream and calls yield for each event that it completes. It
// returns false if an event is longer than maxEventBytes.
func (s *sseSplitter) push(p []byte, yield func(sseEvent)) bool {
	s.rest = append(s.rest, p...)
	for {
		n := eventEnd(s.rest)
		if n == 0 {
			break
		}
		raw := bytes.Clone(s.rest[:n])
		s.rest = s.rest[n:]
		yield(parseEvent(raw))
	}
	if len(s.rest) == 0 {
		s.rest = nil
	}
	return len(s.rest) <= maxEventBytes
}

// keep replaces the unfinished event. A buffer that was needed for a long event is not kept.
func (s *sseSplitter) keep(rest []byte) {
	if len(rest) == 0 && cap(s.rest) > maxKeptBytes {
		s.rest = nil
		return
	}
	s.rest = append(s.rest[:0], rest...)
}

// partial reports whether the stream ends inside an event.
func (s *sseSplitter) partial() bool { return len(s.rest) > 0 }

// eventEnd returns the length of the first event in p including its blank line, or 0 if p
// contains no complete event.
func eventEnd(p []byte) int {
	end := 0
	if i := bytes.Index(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(p, []byte("\r\n\r\n")); i >= 0 && (end == 0 || i+4 < end) {
		end = i + 4
	}
	return end
}

// parseEvent parses the fields of an event that the dispatcher uses.
func parseEvent(raw []byte) sseEvent {
	e := sseEvent{raw: raw}
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			id, err := strconv.ParseUint(string(value), 10, 64)
			e.id, e.hasID = id, err == nil
		case "data":
			if e.data != nil {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
		}
	}
	return e
}
