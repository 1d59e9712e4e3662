package dispatcher

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/tracker"
)

// doneData is the data of the last event of an engine's stream.
const doneData = "[DONE]"

// streamAnswer is an answer that comes as a stream of events.
type streamAnswer struct {
	engine bool
	// framed is true if the message's end is the stream's, and events are
	// counted by their ids on the way.
	framed bool
	split  sseSplitter
	// lastID is the number of the last event that went to the caller.
	lastID uint64
	// numbered is true once lastID is known.
	numbered bool
	// told is true once the scheduler knows of the first event.
	told   bool
	begun  bool
	ended  bool
	broken bool
	// idle counts the bytes since the last event that brought the stream further.
	idle int
}

// newStream returns the stream that an attempt answers with.
func (f *flight) newStream(at *attempt) *streamAnswer {
	if f.d.traits.FramedStreams {
		return &streamAnswer{framed: true, lastID: f.lastEvent, numbered: f.hasEvent}
	}
	return &streamAnswer{engine: at.policy.Engine}
}

// whole reports whether a stream that no engine wrote may end here. The framing
// of the message says that nothing is missing.
func (s *streamAnswer) whole() bool {
	return !s.engine && !s.broken && !s.split.partial()
}

// complete reports whether an engine said that the stream is whole, whatever
// becomes of the connection.
func (s *streamAnswer) complete() bool { return s != nil && s.engine && s.ended && !s.broken }

// usageReport is what an engine says of the cost of a request.
type usageReport struct {
	Usage *struct {
		CompletionTokens float64 `json:"completionTokens"`
	} `json:"usage"`
}

// body takes the next bytes of an answer. It returns false if the attempt
// ended.
func (f *flight) body(at *attempt, p []byte) bool {
	if at.stream != nil {
		return f.events(at, p)
	}
	if len(at.whole)+len(p) > f.d.cfg.MaxResponseBytes {
		f.tooLarge(at, ProblemAnswerTooLarge)
		return false
	}
	if !f.relay.Reserve(len(p)) {
		f.tooLarge(at, ProblemMemoryExhausted)
		return false
	}
	at.whole = append(at.whole, p...)
	at.progressed(f.now(), f.progressTimeout())
	return true
}

// tooLarge ends a request whose answer cannot be held.
func (f *flight) tooLarge(at *attempt, problem string) {
	run := f.outcome.RunState()
	f.note(tracker.Break)
	f.close(at, true)
	f.finish(at.upstream, at.tokens(), false, false)
	p := newProblem(problem, run)
	f.answerProblem(problem, p)
}

// events relays the events that p completes.
func (f *flight) events(at *attempt, p []byte) bool {
	if at.stream.framed {
		return f.framedEvents(at, p)
	}
	var out []byte
	tokens := 0
	ok := at.stream.split.push(p, func(e sseEvent) {
		raw, isToken := f.event(at, e)
		out = append(out, raw...)
		if isToken {
			tokens++
		}
	})
	if len(out) > 0 {
		at.resumes = 0
		at.progressed(f.now(), f.progressTimeout())
	}
	f.deliver(at, out)
	if tokens > 0 {
		f.progress(at, float64(tokens))
	}
	if !ok || at.stream.broken {
		at.stream.broken = false
		f.attemptFailed(at, ProblemStreamBroken, true)
		return f.holds(at)
	}
	return true
}

// event returns what of an event goes to the caller and whether it is a token.
// An event that was delivered before a resume is dropped; one that does not
// follow the last breaks the stream.
func (f *flight) event(at *attempt, e sseEvent) (raw []byte, isToken bool) {
	s := at.stream
	if s.broken || s.ended {
		return nil, false
	}
	if s.engine {
		if !e.hasID || e.id > s.lastID+1 {
			s.broken = e.data != nil
			return nil, false
		}
		if e.id <= s.lastID {
			return nil, false
		}
	}
	if e.hasID {
		s.lastID = e.id
	}
	if !s.engine || e.data == nil {
		return e.raw, false
	}
	if string(e.data) == doneData {
		s.ended = true
		return e.raw, false
	}
	if n, ok := usageOf(e.data); ok {
		at.reported = n
		return e.raw, false
	}
	return e.raw, true
}

// usageOf returns the completion tokens that data reports.
func usageOf(data []byte) (float64, bool) {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return 0, false
	}
	var u usageReport
	if err := json.Unmarshal(data, &u); err != nil || u.Usage == nil {
		return 0, false
	}
	return u.Usage.CompletionTokens, true
}

// progress tells the scheduler of tokens.
func (f *flight) progress(at *attempt, tokens float64) {
	at.counted += tokens
	first := f.result.FirstOutputAt.IsZero()
	if first {
		f.result.FirstOutputAt = f.now()
	}
	f.queue.Notify(messenger.Progress{Request: f.req.ID, Tokens: tokens, First: first})
}

// deliver passes bytes of a stream to the caller.
func (f *flight) deliver(at *attempt, p []byte) {
	if len(p) == 0 || f.gone {
		return
	}
	at.stream.begun = true
	if !f.answered {
		f.writeHead(at, -1)
	}
	if !f.outcome.Delivered() {
		f.note(tracker.Deliver)
	}
	f.relay.Push(p)
	f.pumpRelay()
}

// completed relays a whole answer and frees the slot.
func (f *flight) completed(at *attempt) {
	f.dropOthers(at)
	f.note(tracker.Complete)
	f.d.live.remove(at.policy.Address, at.x)
	at.x.linger()
	f.attempts = nil
	if at.stream == nil && at.policy.Engine && !f.d.traits.FramedStreams {
		at.reported, _ = usageOf(at.whole)
	}
	if at.stream == nil && f.result.FirstOutputAt.IsZero() {
		f.result.FirstOutputAt = f.now()
		f.queue.Notify(messenger.Progress{Request: f.req.ID, Tokens: at.tokens(), First: true})
	}
	f.relay.Reserve(-len(at.whole))
	f.result.Upstream, f.result.Tokens = at.upstream, at.tokens()
	f.finish(at.upstream, at.tokens(), false, false)
	if !f.gone {
		if !f.answered {
			f.writeHead(at, len(at.whole))
		}
		f.relay.Push(at.whole)
		f.pumpRelay()
	}
	f.keepAnswer(at)
	f.conclude(tracker.Complete)
}

// writeHead begins the answer to the caller. A length below zero means that
// it is not known.
func (f *flight) writeHead(at *attempt, length int) {
	h := f.c.Header()
	for name, values := range Forwardable(at.header) {
		h[name] = values
	}
	f.d.dialect.AddResponseHeaders(h, f.req, f.outcome.RunState())
	if length >= 0 && at.status != http.StatusNoContent && at.status != http.StatusNotModified && f.req.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	f.answered = true
	f.result.Status = at.status
	f.c.WriteHeader(at.status)
}

// answerProblem ends the request with a problem document, or, once the answer
// has begun, with an event that carries it, so that no caller takes what it
// has for the whole.
func (f *flight) answerProblem(name string, p problem) {
	f.result.Problem = name
	if !f.gone {
		f.sendProblem(p)
	}
	f.conclude(tracker.Refuse)
}

func (f *flight) sendProblem(p problem) {
	if !f.answered {
		f.answered = true
		f.result.Status = p.Status
		if err := f.d.dialect.WriteProblem(f.c, f.req, p); err != nil {
			f.gone = true
			return
		}
		f.c.Flush()
		return
	}
	if f.d.traits.AbortsBrokenResponses {
		f.result.Aborted = true
		return
	}
	body, err := json.Marshal(p)
	if err != nil {
		return
	}
	var b strings.Builder
	b.WriteString("event: error\ndata: ")
	b.Write(body)
	b.WriteString("\n\n")
	f.relay.Push([]byte(b.String()))
	f.pumpRelay()
}

// pumpRelay moves what the caller can take.
func (f *flight) pumpRelay() {
	if f.gone {
		return
	}
	if err := f.relay.Pump(); err != nil {
		f.log("callerGone").WithError(err).Debug("caller gone")
		f.leave()
	}
}
