package scripter

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/messenger"
)

// answer is what came back for one request so far.
type answer struct {
	// account is the client account that asked.
	account string
	cancel  context.CancelFunc
	done    chan struct{}

	mu     sync.Mutex
	status int
	header http.Header
	body   strings.Builder
	events []string
	err    error
}

// request is what a send command asks for.
type request struct {
	method, url string
	header      http.Header
	body        string
}

// startRequest sends a request on a connection of its own and collects its
// answer in the background.
func startRequest(r request) *answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	a := &answer{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(a.done)
		defer cancel()
		err := a.collect(ctx, r)
		a.mu.Lock()
		a.err = err
		a.mu.Unlock()
	}()
	return a
}

func (a *answer) collect(ctx context.Context, r request) error {
	req, err := http.NewRequestWithContext(ctx, r.method, r.url, strings.NewReader(r.body))
	if err != nil {
		return err
	}
	req.Header = r.header
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	a.mu.Lock()
	a.status, a.header = res.StatusCode, res.Header
	a.mu.Unlock()
	lines := bufio.NewReader(res.Body)
	id := ""
	for {
		line, err := lines.ReadString('\n')
		a.note(line, &id)
		if err != nil {
			return endOf(err)
		}
	}
}

// note adds a line of the body, and the event that it ends.
func (a *answer) note(line string, id *string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.body.WriteString(line)
	if v, ok := strings.CutPrefix(line, "id: "); ok {
		*id = strings.TrimSpace(v)
	}
	if v, ok := strings.CutPrefix(line, "data: "); ok {
		a.events = append(a.events, *id+" "+strings.TrimSpace(v))
	}
}

func (a *answer) eventCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.events)
}

// wireID returns the id under which upstreams saw the request.
func (a *answer) wireID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.header.Get(messenger.FleetRequestIDHeader)
}

// check compares one property of a finished answer and returns what is wrong.
func (a *answer) check(name, want string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	got := ""
	switch name {
	case "status":
		got = fmt.Sprint(a.status)
	case "run":
		got = a.header.Get(messenger.RunHeader)
	case "events":
		got = fmt.Sprint(len(a.events))
	case "whole":
		got = a.whole()
	case "problem":
		got = a.problem()
	case "id":
		got = a.header.Get(messenger.RequestIDHeader)
	case "retryAfter":
		got = yesOrNo(a.header.Get("Retry-After") != "")
	case "body":
		if strings.Contains(a.body.String(), want) {
			return ""
		}
		got = a.body.String()
	default:
		return fmt.Sprintf("an answer has no property %q", name)
	}
	if got == want {
		return ""
	}
	return fmt.Sprintf("got %s %q, want %q (status %d, error %v)", name, got, want, a.status, a.err)
}

// whole says whether a stream has every event of its own request, once and in
// order, and ended by itself.
func (a *answer) whole() string {
	n := len(a.events)
	if a.err != nil || n < endEvents {
		return fmt.Sprintf("no: %d events, error %v", n, a.err)
	}
	id := a.header.Get(messenger.FleetRequestIDHeader)
	for i, got := range a.events[:n-endEvents] {
		if want := fmt.Sprintf(`%d {"text":"%s"}`, i+1, emulator.Text(id, i+1)); got != want {
			return fmt.Sprintf("no: event %d is %q, want %q", i+1, got, want)
		}
	}
	if got, want := a.events[n-1], fmt.Sprintf("%d [DONE]", n); got != want {
		return fmt.Sprintf("no: the last event is %q, want %q", got, want)
	}
	return "yes"
}

// endEvents are the usage and the mark of the end.
const endEvents = 2

// problem returns the last part of a problem document's type.
func (a *answer) problem() string {
	var doc struct {
		Type string `json:"type"`
	}
	if a.header.Get("Content-Type") != "application/problem+json" {
		return "none"
	}
	if err := json.Unmarshal([]byte(a.body.String()), &doc); err != nil {
		return err.Error()
	}
	return doc.Type[strings.LastIndex(doc.Type, ":")+1:]
}

func yesOrNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
