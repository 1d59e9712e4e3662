package emulator

import (
	"strconv"
	"time"
)

// stream is one generation. The engine's lock guards it.
type stream struct {
	id      string
	request completion
	entry   *Entry
	prefix  string
	prompt  int
	cached  int
	// generated counts the tokens so far; done is true once there are no more.
	generated int
	done      bool
	cancelled bool
	// paused is true for an imported stream that nobody has resumed yet.
	paused bool
	// reader gets the events; nil while nobody does.
	reader *reader
	// detachedAt is when the last reader left.
	detachedAt time.Time
}

// reader is one connection that a stream's events go to.
type reader struct {
	// wake has room for one signal that there is something new.
	wake chan struct{}
	// taken is closed once another reader has taken over.
	taken chan struct{}
}

func newReader() *reader {
	return &reader{wake: make(chan struct{}, 1), taken: make(chan struct{})}
}

func (r *reader) signal() {
	if r == nil {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// progress is what a reader needs to know of a stream.
type progress struct {
	generated int
	cached    int
	done      bool
	cancelled bool
}

// events returns how many events exist: one for each token, and two at the end.
func (p progress) events() int {
	if p.done {
		return p.generated + endEvents
	}
	return p.generated
}

// endEvents are the usage and the mark of the end.
const endEvents = 2

// appendEvent appends event n, counted from 1, as server-sent events are
// written.
func appendEvent(buf []byte, id string, n int, p progress) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, int64(n), 10)
	buf = append(buf, "\ndata: "...)
	switch {
	case n <= p.generated:
		buf = append(buf, `{"text":"`...)
		buf = append(buf, Text(id, n)...)
		buf = append(buf, `"}`...)
	case n == p.generated+1:
		buf = append(buf, `{"usage":{"completionTokens":`...)
		buf = strconv.AppendInt(buf, int64(p.generated), 10)
		buf = append(buf, `,"cachedTokens":`...)
		buf = strconv.AppendInt(buf, int64(p.cached), 10)
		buf = append(buf, `}}`...)
	default:
		buf = append(buf, "[DONE]"...)
	}
	return append(buf, "\n\n"...)
}
