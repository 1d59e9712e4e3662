package dispatcher

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// sseEvent is one whole event of a stream.
type sseEvent struct {
	// raw is the event as it came, with its closing blank line.
	raw []byte
	// id is the number of the event; hasID is false if it has none.
	id    uint64
	hasID bool
	data  []byte
}

// sseSplitter cuts a byte stream into whole events.
type sseSplitter struct {
	rest []byte
}

// push takes the next bytes of the stream and calls yield for each event that
// they complete. It returns false if an event is longer than allowed.
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

// partial reports whether the stream stopped inside an event.
func (s *sseSplitter) partial() bool { return len(s.rest) > 0 }

// eventEnd returns the length of the first event in p with its blank line, or
// 0 if none is whole.
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

// parseEvent reads the fields of an event that the dispatcher uses.
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
