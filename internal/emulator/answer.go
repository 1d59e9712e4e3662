package emulator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"lentilwood.example/lentilwood/internal/listener"
)

// answer is one answer to a reader while it is written.
type answer struct {
	w       *Worker
	rw      http.ResponseWriter
	ctx     context.Context
	s       *stream
	reading *reader
	sent    int
	written int
	faults  Faults
	buf     []byte
}

// maxUnsent is how far an answer runs ahead of a slow reader.
const maxUnsent = 256 << 10

// slowReaderPoll is how often a slow reader is looked at again.
const slowReaderPoll = 5 * time.Millisecond

// answer writes a stream's events, or its whole text, as they come.
func (w *Worker) answer(a *answer) {
	defer w.engine.detach(a.s, a.reading)
	if a.s.request.Stream {
		a.stream()
		return
	}
	a.whole()
}

func (a *answer) stream() {
	a.rw.Header().Set("Content-Type", "text/event-stream")
	a.rw.Header().Set("Cache-Control", "no-store")
	if f := a.w.current(); f.crashesOn(a.s.request.Prompt) {
		a.waitForFirstToken()
		a.flush()
		a.crashDuringAnswer(f)
	}
	a.flush()
	for {
		p := a.w.engine.progressOf(a.s)
		if !a.writeEvents(p) {
			continue
		}
		if p.cancelled && !p.done {
			panic(http.ErrAbortHandler)
		}
		if p.done && a.sent >= p.events() {
			return
		}
		a.wait()
	}
}

// waitForFirstToken blocks until the prompt has been read.
func (a *answer) waitForFirstToken() {
	for p := a.w.engine.progressOf(a.s); p.generated == 0; p = a.w.engine.progressOf(a.s) {
		if p.cancelled {
			panic(http.ErrAbortHandler)
		}
		a.wait()
	}
}

// writeEvents writes what is new. It returns false if the reader is slow and
// more is to be written.
func (a *answer) writeEvents(p progress) bool {
	a.buf = a.buf[:0]
	for a.sent < p.events() && len(a.buf) < maxUnsent {
		a.sent++
		a.buf = appendEvent(a.buf, a.s.id, a.sent, p)
		a.written++
		if a.written == a.faults.DropAfterEvents || a.written == a.faults.SilentAfterEvents {
			a.write()
			a.breakOff()
		}
	}
	a.write()
	if a.w.isFrozen(a.rw) {
		holdSilent(a.rw)
	}
	return a.waitForSlowReader()
}

func (a *answer) breakOff() {
	if a.faults.SilentAfterEvents > 0 {
		holdSilent(a.rw)
	}
	panic(http.ErrAbortHandler)
}

func (a *answer) write() {
	if len(a.buf) == 0 || a.w.isFrozen(a.rw) {
		return
	}
	if _, err := a.rw.Write(a.buf); err != nil {
		panic(http.ErrAbortHandler)
	}
	a.flush()
}

func (a *answer) flush() {
	if f, ok := a.rw.(http.Flusher); ok {
		f.Flush()
	}
}

func (a *answer) waitForSlowReader() bool {
	c, ok := a.rw.(*listener.Caller)
	if !ok || c.Pending() < maxUnsent {
		return true
	}
	select {
	case <-a.w.clock.After(slowReaderPoll):
	case <-a.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	return false
}

// wait blocks until there is more to write.
func (a *answer) wait() {
	select {
	case <-a.reading.wake:
	case <-a.reading.taken:
		panic(http.ErrAbortHandler)
	case <-a.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// whole answers a request that does not stream.
func (a *answer) whole() {
	p := a.w.engine.progressOf(a.s)
	for !p.done {
		if p.cancelled {
			panic(http.ErrAbortHandler)
		}
		a.wait()
		p = a.w.engine.progressOf(a.s)
	}
	if a.faults.DropBeforeAnswer {
		panic(http.ErrAbortHandler)
	}
	if a.faults.SilentAfterEvents > 0 || a.w.isFrozen(a.rw) {
		holdSilent(a.rw)
	}
	reply(a.rw, http.StatusOK, struct {
		Text  string `json:"text"`
		Usage Usage  `json:"usage"`
	}{wholeText(a.s.id, p.generated), Usage{p.generated, p.cached}})
}

func wholeText(id string, tokens int) string {
	var sb strings.Builder
	for n := 1; n <= tokens; n++ {
		sb.WriteString(Text(id, n))
	}
	return sb.String()
}
