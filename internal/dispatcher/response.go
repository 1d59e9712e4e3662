package dispatcher

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/tracker"
)

// doneData is the data of the final event of an engine's stream.
const doneData = "[DONE]"

// streamState is the state of a response that is an event stream.
type streamState struct {
	engine bool
	// framed is true if the end of the HTTP message marks the end of the stream. Events are
	// then tracked by id as they are relayed.
	framed   bool
	splitter sseSplitter
	// lastEventID is the id of the last event sent to the caller; valid if hasLastEventID
	// is set.
	lastEventID    uint64
	hasLastEventID bool
	// firstEventReported is true once the first event of this response was reported to the
	// scheduler.
	firstEventReported bool
	started            bool
	gotDone            bool
	broken             bool
	// lastEventAt is when the last event arrived; zero before the first one and after a time
	// in which the stream was not read.
	lastEventAt time.Time
	// bytesSinceEvent counts the bytes since the last event that advanced the stream.
	bytesSinceEvent int
}

// newStream returns the stream state for the response to an attempt.
func (f *inflightRequest) newStream(at *attempt) *streamState {
	if f.d.traits.FramedStreams {
		return &streamState{framed: true, lastEventID: f.lastEvent, hasLastEventID: f.hasLastEvent}
	}
	return &streamState{engine: at.policy.Engine}
}

// endsCleanly reports whether a stream that does not come from an engine may end after the
// bytes received so far. The framing of the HTTP message guarantees that nothing is missing.
func (s *streamState) endsCleanly() bool {
	return !s.engine && !s.broken && !s.splitter.partial()
}

// isComplete reports whether an engine marked its stream as complete. A later failure of
// the connection does not matter.
func (s *streamState) isComplete() bool { return s != nil && s.engine && s.gotDone && !s.broken }

// usageReport is an engine's report of the tokens that a request used.
type usageReport struct {
	Usage *struct {
		CompletionTokens float64 `json:"completionTokens"`
	} `json:"usage"`
}

// handleBody handles body bytes of a response. It returns false if the attempt ended.
func (f *inflightRequest) handleBody(at *attempt, p []byte) bool {
	if at.stream != nil {
		return f.handleEvents(at, p)
	}
	if at.beingReplaced {
		f.keepReplaced(at)
	}
	if len(at.buffered)+len(p) > f.d.cfg.MaxResponseBytes {
		f.rejectResponse(at, ProblemAnswerTooLarge)
		return false
	}
	var ok bool
	if at.buffered, ok = appendReserved(at.buffered, p, f.d.cfg.MaxResponseBytes, f.relay.Reserve); !ok {
		f.rejectResponse(at, ProblemMemoryExhausted)
		return false
	}
	at.recordProgress(f.now(), f.progressTimeout())
	return true
}

// rejectResponse ends a request whose response exceeds the size or memory limit.
func (f *inflightRequest) rejectResponse(at *attempt, problem string) {
	run := f.outcome.RunState()
	f.track(tracker.Break)
	f.closeAttempt(at, true)
	f.reportFinish(at.upstream, at.tokens(), false, false)
	p := newProblem(problem, run)
	f.endWithProblem(problem, p)
}

// handleEvents relays the events that p completes. It returns false if the attempt ended.
func (f *inflightRequest) handleEvents(at *attempt, p []byte) bool {
	if at.stream.framed {
		return f.handleFramedEvents(at, p)
	}
	var out []byte
	tokens := 0
	ok := at.stream.splitter.push(p, func(e sseEvent) {
		raw, isToken := f.filterEvent(at, e)
		out = append(out, raw...)
		if isToken {
			tokens++
		}
	})
	if len(out) > 0 {
		at.resumes = 0
		at.recordProgress(f.now(), f.progressTimeout())
	}
	f.deliver(at, out)
	if f.concluded { // the caller has disconnected
		return false
	}
	if tokens > 0 {
		f.reportProgress(at, float64(tokens))
	}
	ok = ok && f.chargeEvents()
	if !ok || at.stream.broken {
		at.stream.broken = false
		f.attemptFailed(at, ProblemStreamBroken, true)
		return f.isOpen(at)
	}
	return true
}

// chargeEvents charges the unfinished events of all open attempts. It returns false if there is no
// room for them.
func (f *inflightRequest) chargeEvents() bool {
	n := 0
	for _, at := range f.attempts {
		if at.stream != nil {
			n += cap(at.stream.splitter.rest)
		}
	}
	return f.relay.SetEvent(n)
}

// filterEvent returns the bytes of an event to relay and whether the event is a token. An
// event that was relayed before a resume is dropped. An event that does not follow the
// last one breaks the stream.
func (f *inflightRequest) filterEvent(at *attempt, e sseEvent) (raw []byte, isToken bool) {
	s := at.stream
	if s.broken || s.gotDone {
		return nil, false
	}
	if s.engine {
		if !e.hasID || e.id > s.lastEventID+1 {
			s.broken = e.data != nil
			return nil, false
		}
		if e.id <= s.lastEventID {
			return nil, false
		}
	}
	if e.hasID {
		s.lastEventID = e.id
	}
	if !s.engine || e.data == nil {
		return e.raw, false
	}
	if string(e.data) == doneData {
		s.gotDone = true
		return e.raw, false
	}
	if n, ok := completionTokens(e.data); ok {
		at.reportedTokens = n
		return e.raw, false
	}
	return e.raw, true
}

// completionTokens returns the number of completion tokens reported in data.
func completionTokens(data []byte) (float64, bool) {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return 0, false
	}
	var u usageReport
	if err := json.Unmarshal(data, &u); err != nil || u.Usage == nil {
		return 0, false
	}
	return u.Usage.CompletionTokens, true
}

// reportProgress reports received tokens to the scheduler.
func (f *inflightRequest) reportProgress(at *attempt, tokens float64) {
	at.countedTokens += tokens
	f.reportOutput(at)
	first := f.result.FirstOutputAt.IsZero()
	if first {
		f.result.FirstOutputAt = f.now()
	}
	f.queue.Notify(messenger.Progress{Request: f.req.ID, Tokens: tokens, First: first})
}

// deliver passes bytes of a stream to the caller.
func (f *inflightRequest) deliver(at *attempt, p []byte) {
	if len(p) == 0 || f.callerGone {
		return
	}
	at.stream.started = true
	f.result.SoftwareVersion = at.policy.SoftwareVersion
	if !f.responseStarted {
		f.writeHead(at, -1)
	}
	if !f.outcome.Delivered() {
		f.track(tracker.Deliver)
	}
	f.relay.Push(p)
	f.flushRelay()
}

// completeAttempt relays a complete response and frees the slot.
func (f *inflightRequest) completeAttempt(at *attempt) {
	if at.beingReplaced {
		f.keepReplaced(at)
	}
	f.cancelOtherAttempts(at)
	f.reportOutput(at)
	f.track(tracker.Complete)
	f.d.live.remove(at.policy.Address, at.exchange)
	at.exchange.linger()
	f.attempts = nil
	if at.stream == nil && at.policy.Engine && !f.d.traits.FramedStreams {
		at.reportedTokens, _ = completionTokens(at.buffered)
	}
	if at.stream == nil && f.result.FirstOutputAt.IsZero() {
		f.result.FirstOutputAt = f.now()
		f.queue.Notify(messenger.Progress{Request: f.req.ID, Tokens: at.tokens(), First: true})
	}
	f.relay.Reserve(-cap(at.buffered))
	f.result.Upstream, f.result.Tokens = at.upstream, at.tokens()
	f.reportFinish(at.upstream, at.tokens(), false, false)
	f.saveResponse(at) // before the write: if that fails, it ends the request
	if !f.callerGone {
		if !f.responseStarted {
			f.writeHead(at, len(at.buffered))
		}
		f.relay.Push(at.buffered)
		f.flushRelay()
	}
	f.conclude(tracker.Complete)
}

// writeHead writes the head of the response to the caller. A negative length means that
// it is unknown.
func (f *inflightRequest) writeHead(at *attempt, length int) {
	h := f.caller.Header()
	for name, values := range Forwardable(at.header) {
		h[name] = values
	}
	f.d.dialect.AddResponseHeaders(h, f.req, f.outcome.RunState())
	if length >= 0 && at.status != http.StatusNoContent && at.status != http.StatusNotModified && f.req.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	f.responseStarted = true
	f.result.Status = at.status
	f.caller.WriteHeader(at.status)
}

// endWithProblem ends the request with a problem document. If the response has already
// started, the document is sent as a final event, so that no caller takes a truncated
// response for a complete one.
func (f *inflightRequest) endWithProblem(name string, p problem) {
	f.result.Problem = name
	if !f.callerGone {
		f.sendProblem(p)
	}
	f.conclude(tracker.Refuse)
}

func (f *inflightRequest) sendProblem(p problem) {
	if !f.responseStarted {
		f.responseStarted = true
		f.result.Status = p.Status
		if err := f.d.dialect.WriteProblem(f.caller, f.req, p); err != nil {
			f.callerGone = true
			return
		}
		f.caller.Flush()
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
	f.flushRelay()
}

// flushRelay passes buffered bytes to the caller, as many as it accepts without blocking.
func (f *inflightRequest) flushRelay() {
	if f.callerGone {
		return
	}
	if err := f.relay.Pump(); err != nil {
		f.log("callerGone").WithError(err).Debug("caller disconnected")
		f.handleCallerGone()
	}
}
