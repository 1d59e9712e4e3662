package dispatcher

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"lentilwood.example/lentilwood/internal/messenger"
)

// journal counts the requests that were run, by request id and by idempotency key.
type journal struct {
	mu   sync.Mutex
	runs map[string]int
	keys map[string]int
}

func newJournal() *journal { return &journal{runs: make(map[string]int), keys: make(map[string]int)} }

func (j *journal) run(r *http.Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[r.Header.Get(messenger.RequestIDHeader)]++
	if key := r.Header.Get(messenger.IdempotencyKeyHeader); key != "" {
		j.keys[key]++
	}
}

// fault is a failure that an upstream injects into one request.
type fault uint8

const (
	noFault fault = iota
	closeBeforeRun
	closeAfterRun
	silentBeforeRun
	silentAfterRun
	busyUpstream
	busyAfterRun
	wrongID
	garbageResponse
	cutHead
	cutBody
	silentBody
	endWithoutDone
	repeatedEvents
	missingEvent
	strayResponse
	noReasonPhrase
	closeDelimitedResponse
	forgetStream
	statusZero
	blankInName
	faultCount
)

// faultyUpstream is an engine or service that fails often and keeps a journal of the
// requests it ran.
type faultyUpstream struct {
	engine  bool
	journal *journal
	wg      sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	streams map[string]bool
	closed  bool
}

func newFaultyUpstream(j *journal, engine bool, seed uint64) *faultyUpstream {
	return &faultyUpstream{
		engine: engine, journal: j, rng: rand.New(rand.NewPCG(seed, 2)),
		streams: make(map[string]bool),
	}
}

func (u *faultyUpstream) accept(conn net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		_ = conn.Close()
		return
	}
	u.wg.Go(func() { u.serve(conn) })
}

// close waits until the upstream has read everything sent to it. The dispatcher must have
// closed its connections before.
func (u *faultyUpstream) close() {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	u.wg.Wait()
}

// draw returns a random fault and the number of the event at which it occurs in a stream.
func (u *faultyUpstream) draw() (fault, int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rng.IntN(2) == 0 {
		return noFault, 0
	}
	return fault(u.rng.IntN(int(faultCount))), u.rng.IntN(8)
}

func (u *faultyUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !u.respond(conn, r) {
			return
		}
	}
}

// respond handles one request and reports whether the connection stays open.
func (u *faultyUpstream) respond(conn net.Conn, r *http.Request) bool {
	f, n := u.draw()
	switch {
	case r.URL.Path == healthPath:
		return f == noFault && write(conn, head("200 OK", "", "Content-Length: 0"))
	case r.Method == http.MethodDelete:
		return write(conn, head("200 OK", requestIDOf(r), "Content-Length: 0"))
	case strings.HasPrefix(r.URL.Path, streamsPath):
		return u.resume(conn, r, f, n)
	}
	switch f {
	case closeBeforeRun:
		return false
	case silentBeforeRun:
		return stall(conn)
	case busyUpstream:
		return write(conn, head("503 Service Unavailable", requestIDOf(r), "Content-Length: 0"))
	}
	u.journal.run(r)
	switch f {
	case closeAfterRun:
		return false
	case silentAfterRun:
		return stall(conn)
	case busyAfterRun:
		return write(conn, head("503 Service Unavailable", requestIDOf(r), "Content-Length: 0"))
	case garbageResponse:
		write(conn, "\x00\x01\x02 nonsense\r\n\r\n")
		return false
	case cutHead:
		write(conn, "HTTP/1.1 200 OK\r\nX-Requ")
		return false
	case statusZero:
		whole := head("200 OK", requestIDOf(r), "Content-Length: 2") + "no"
		return write(conn, head("000 None", requestIDOf(r), "Content-Length: "+strconv.Itoa(len(whole)))+whole)
	case blankInName:
		return write(conn, head("200 OK", requestIDOf(r), "Content-Length : 2")+"no")
	}
	if u.engine {
		u.mu.Lock()
		u.streams[requestIDOf(r)] = f != forgetStream
		u.mu.Unlock()
		return u.stream(conn, requestIDOf(r), 0, f, n)
	}
	return u.reply(conn, requestIDOf(r), f)
}

// reply responds to a request to a service.
func (u *faultyUpstream) reply(conn net.Conn, id string, f fault) bool {
	body := serviceBody(id)
	length := "Content-Length: " + strconv.Itoa(len(body))
	switch f {
	case wrongID:
		other := serviceBody("other")
		return write(conn, head("200 OK", "other", "Content-Length: "+strconv.Itoa(len(other)))+other)
	case cutBody:
		write(conn, head("200 OK", id, length)+body[:len(body)/2])
		return false
	case silentBody:
		write(conn, head("200 OK", id, length)+body[:len(body)/2])
		return stall(conn)
	case strayResponse:
		other := serviceBody("other")
		write(conn, head("200 OK", id, length)+body)
		return write(conn, head("200 OK", "other", "Content-Length: "+strconv.Itoa(len(other)))+other)
	case noReasonPhrase:
		return write(conn, head("200 ", id, length)+body)
	case closeDelimitedResponse:
		write(conn, head("200 OK", id, "Connection: close")+body[:len(body)/2])
		return false
	}
	return write(conn, head("200 OK", id, length)+body)
}

// resume responds to a request for the rest of a stream.
func (u *faultyUpstream) resume(conn net.Conn, r *http.Request, f fault, n int) bool {
	u.mu.Lock()
	known := u.streams[requestIDOf(r)]
	u.mu.Unlock()
	switch f {
	case closeBeforeRun, garbageResponse, cutHead:
		return false
	case silentBeforeRun, silentAfterRun:
		return stall(conn)
	case forgetStream:
		known = false
	}
	if !known {
		return write(conn, head("404 Not Found", requestIDOf(r), "Content-Length: 0"))
	}
	last, err := strconv.Atoi(r.Header.Get(messenger.LastEventIDHeader))
	if err != nil {
		return false
	}
	return u.stream(conn, requestIDOf(r), last, f, n)
}

// stream writes the events after last.
func (u *faultyUpstream) stream(conn net.Conn, id string, last int, f fault, n int) bool {
	responseID := id
	if f == wrongID {
		id, responseID = "other", "other"
	}
	events := tokenEvents(id, streamTokens)[last:]
	framing := "Transfer-Encoding: chunked"
	if f == closeDelimitedResponse {
		framing = "Connection: close"
	}
	if !write(conn, head("200 OK", responseID, "Content-Type: text/event-stream", framing)) {
		return false
	}
	stop := min(n, len(events))
	for i, e := range events {
		switch {
		case f == cutBody && i == stop:
			write(conn, fmt.Sprintf("%x\r\n%s", len(e), e[:len(e)/2]))
			return false
		case f == silentBody && i == stop:
			return stall(conn)
		case f == endWithoutDone && i == stop:
			return write(conn, "0\r\n\r\n")
		case f == closeDelimitedResponse && i == stop:
			return false
		case f == missingEvent && i == stop:
			continue
		case f == repeatedEvents && i == stop && i > 0:
			e = events[i-1] + e
		}
		if f == closeDelimitedResponse {
			write(conn, e)
			continue
		}
		if !write(conn, fmt.Sprintf("%x\r\n%s\r\n", len(e), e)) {
			return false
		}
	}
	return write(conn, "0\r\n\r\n")
}

// streamTokens is the number of tokens in each stream.
const streamTokens = 5

func requestIDOf(r *http.Request) string { return r.Header.Get(messenger.RequestIDHeader) }

// serviceBody returns a service's correct response to a request.
func serviceBody(id string) string { return fmt.Sprintf("{\"for\":%q}", id) }

func head(status, id string, fields ...string) string {
	if id != "" {
		fields = append(fields, messenger.RequestIDHeader+": "+id)
	}
	return "HTTP/1.1 " + status + "\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
}

func write(conn net.Conn, s string) bool {
	_, err := io.WriteString(conn, s)
	return err == nil
}

// stall sends nothing more until the other end closes the connection.
func stall(conn net.Conn) bool {
	_, _ = io.Copy(io.Discard, conn)
	return false
}
