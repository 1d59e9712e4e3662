package generator

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// maxLineBytes bounds one line of an event stream.
	maxLineBytes = 1 << 20
	// doneData is the data of the last event.
	doneData = "[DONE]"
	// errorEvent is the name of the event by which a router ends a stream that
	// it could not complete.
	errorEvent = "error"
)

// sseEvent is one server-sent event.
type sseEvent struct {
	id, name, data string
}

// streamCheck checks the events of one answer as they come.
type streamCheck struct {
	runner *runner
	a      arrival
	o      *outcome
	// last is the id of the last event.
	last int
	done bool
	// before is when the last token came.
	before time.Duration
}

// readStream reads and checks an event stream.
func (r *runner) readStream(o *outcome, a arrival, body io.Reader) {
	c := &streamCheck{runner: r, a: a, o: o}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	var e sseEvent
	for lines.Scan() {
		line := lines.Text()
		if line != "" {
			e.add(line)
			continue
		}
		if !c.event(e) {
			return
		}
		e = sseEvent{}
	}
	switch {
	case lines.Err() != nil:
		o.kind, o.problem = cut, shorten(lines.Err())
	case !c.done:
		o.kind, o.problem = cut, "the stream ended before "+doneData
	}
}

// add takes one line of an event.
func (e *sseEvent) add(line string) {
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "id":
		e.id = value
	case "event":
		e.name = value
	case "data":
		e.data += value
	}
}

// event checks one event. It returns false if the answer is over.
func (c *streamCheck) event(e sseEvent) bool {
	if e == (sseEvent{}) {
		return true
	}
	if e.name == errorEvent {
		c.stated(e.data)
		return false
	}
	if err := c.check(e); err != nil {
		c.o.kind, c.o.problem = wrong, err.Error()
		return false
	}
	return true
}

func (c *streamCheck) check(e sseEvent) error {
	id, err := strconv.Atoi(e.id)
	switch {
	case c.done:
		return fmt.Errorf("event %q after %s", e.id, doneData)
	case err != nil || id != c.last+1:
		return fmt.Errorf("event id %q after %d", e.id, c.last)
	}
	c.last = id
	if e.data == doneData {
		c.done = true
		if c.o.tokens != c.a.tokens {
			return fmt.Errorf("%d tokens, want %d", c.o.tokens, c.a.tokens)
		}
		return nil
	}
	var data struct {
		Text  string `json:"text"`
		Usage *struct {
			CompletionTokens int `json:"completionTokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(e.data), &data); err != nil {
		return errors.New("an event that is not JSON")
	}
	if data.Usage == nil {
		return c.token(data.Text)
	}
	if data.Usage.CompletionTokens != c.o.tokens {
		return fmt.Errorf("usage of %d tokens after %d", data.Usage.CompletionTokens, c.o.tokens)
	}
	return nil
}

// token checks one token and notes when it came.
func (c *streamCheck) token(text string) error {
	now := c.runner.since(c.a)
	c.o.tokens++
	if c.o.tokens == 1 {
		c.o.firstToken = now
	} else {
		c.o.gaps = append(c.o.gaps, now-c.before)
	}
	c.before = now
	expect := c.runner.cfg.Expect
	if expect == nil {
		return nil
	}
	if want := expect.Token(c.o.wireID, c.o.tokens); text != want {
		return fmt.Errorf("token %d is %q, want %q", c.o.tokens, text, want)
	}
	return nil
}

// stated takes the problem document by which the router ended the stream.
func (c *streamCheck) stated(data string) {
	var p struct {
		Type string             `json:"type"`
		Run  messenger.RunState `json:"run"`
	}
	c.o.kind = cut
	c.o.problem = "the stream ended with an error event"
	if json.Unmarshal([]byte(data), &p) == nil && p.Type != "" {
		c.o.problem = p.Type
		c.o.statement = p.Run
	}
}
