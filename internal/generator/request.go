package generator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lentilwood.example/lentilwood/internal/identifier"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/verifier"
)

// outcome is what came of one request.
type outcome struct {
	kind outcomeKind
	// wireID is the id under which the upstream saw the request.
	wireID string
	// status is the HTTP status, 0 if no answer came.
	status int
	// statement is what the answer says of the run; empty if it says nothing.
	statement messenger.RunState
	// problem is the type of the problem document, or a fault of the answer.
	problem string
	tokens  int
	// firstByte, firstToken and total count from when the request was due.
	firstByte, firstToken, total time.Duration
	gaps                         []time.Duration
	noRetryAfter                 bool
}

// outcomeKind tells the ways apart in which a request ends.
type outcomeKind int

const (
	// complete is a whole answer that belongs to its request.
	complete outcomeKind = iota
	// refused is an error that says that the request was not run.
	refused
	// failed is any other error that the router stated.
	failed
	// wrong is an answer that is not what was asked for.
	wrong
	// cut is an answer that broke off.
	cut
	// lost is a request without an answer.
	lost
)

// broken reports whether the caller got no answer that it can rely on.
func (o outcome) broken() bool { return o.kind == wrong || o.kind == cut || o.kind == lost }

// maxAnswerBytes bounds an answer that is read in one piece.
const maxAnswerBytes = 64 << 20

// do sends one request and checks its answer.
func (r *runner) do(ctx context.Context, a arrival) outcome {
	req, err := r.request(ctx, a)
	if err != nil {
		return outcome{kind: lost, problem: err.Error()}
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return outcome{kind: lost, problem: shorten(err), total: r.since(a)}
	}
	defer func() { _ = resp.Body.Close() }()
	o := outcome{
		status:    resp.StatusCode,
		statement: messenger.RunState(resp.Header.Get(messenger.RunHeader)),
		firstByte: r.since(a),
	}
	o.wireID = wireID(resp.Header)
	switch echoed := resp.Header.Get(messenger.RequestIDHeader); {
	case echoed != a.id:
		o.kind = wrong
		o.problem = fmt.Sprintf("answer to request %q, want %q", echoed, a.id)
	case !r.results.claim(o.wireID):
		o.kind = wrong
		o.problem = fmt.Sprintf("answer with the id %q of another answer", o.wireID)
	case resp.StatusCode >= http.StatusBadRequest:
		r.readProblem(&o, resp)
	case a.stream.Kind == Completion && !a.stream.Whole:
		r.readStream(&o, a, resp.Body)
	default:
		r.readWhole(&o, a, resp.Body)
	}
	o.total = r.since(a)
	return o
}

// wireID returns the id under which the upstream saw the request. Without a
// router between the two it is the caller's.
func wireID(h http.Header) string {
	if id := h.Get(messenger.FleetRequestIDHeader); id != "" {
		return id
	}
	return h.Get(messenger.RequestIDHeader)
}

// since returns the time since a request was due.
func (r *runner) since(a arrival) time.Duration {
	return r.cfg.Clock.Now().Sub(r.start) - a.at
}

func (r *runner) request(ctx context.Context, a arrival) (*http.Request, error) {
	method, path, body := http.MethodPost, a.stream.Path, ""
	switch a.stream.Kind {
	case Stock:
		method = http.MethodGet
		path += "/" + a.item
	case Commit:
		body = commitBody(a)
	default:
		body = completionBody(a)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.cfg.Routers[a.router]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(identifier.AuthorizationHeader, "Bearer "+a.token)
	req.Header.Set(messenger.RequestIDHeader, a.id)
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set(messenger.ClassHeader, a.stream.Class)
	set(messenger.IdempotencyKeyHeader, a.key)
	set(messenger.PrefixHeader, a.prefix)
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if a.hint > 0 {
		req.Header.Set(messenger.CostHintHeader, strconv.Itoa(a.hint))
	}
	if a.stream.Deadline > 0 {
		req.Header.Set(messenger.DeadlineHeader, strconv.FormatInt(a.stream.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

func commitBody(a arrival) string {
	// A repeat with the same key is the same request, so its body is too.
	note := a.key
	if note == "" {
		note = a.id
	}
	return fmt.Sprintf(`{"item":%q,"note":%q}`, a.item, note)
}

func completionBody(a arrival) string {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"maxTokens"`
		Stream    bool   `json:"stream"`
	}{"", prompt(a.promptTokens), a.tokens, !a.stream.Whole})
	if err != nil {
		panic(err) // strings and numbers can be written
	}
	return string(body)
}

// readProblem reads the problem document of an error.
func (r *runner) readProblem(o *outcome, resp *http.Response) {
	o.kind = failed
	if o.statement == messenger.StateNotRun {
		o.kind = refused
	}
	busy := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	o.noRetryAfter = busy && resp.Header.Get("Retry-After") == ""
	data, err := verifier.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		o.kind, o.problem = cut, shorten(err)
		return
	}
	var p struct {
		Type string             `json:"type"`
		Run  messenger.RunState `json:"run"`
	}
	if err := json.Unmarshal(data, &p); err != nil || p.Type == "" {
		o.kind, o.problem = wrong, "an error without a problem document"
		return
	}
	o.problem = p.Type
	if p.Run != o.statement {
		o.kind, o.problem = wrong, fmt.Sprintf("header says %q, document says %q", o.statement, p.Run)
	}
}

// readWhole checks an answer in one piece.
func (r *runner) readWhole(o *outcome, a arrival, body io.Reader) {
	data, err := verifier.ReadAll(body, maxAnswerBytes)
	if err != nil {
		o.kind, o.problem = cut, shorten(err)
		return
	}
	o.firstToken = r.since(a)
	if problem := r.checkWhole(o, a, data); problem != "" {
		o.kind, o.problem = wrong, problem
	}
}

// checkWhole returns what is wrong with an answer, or an empty text.
func (r *runner) checkWhole(o *outcome, a arrival, data []byte) string {
	var answer struct {
		Text  string `json:"text"`
		Usage struct {
			CompletionTokens int `json:"completionTokens"`
		} `json:"usage"`
		Item  string          `json:"item"`
		Count int             `json:"count"`
		Order json.RawMessage `json:"order"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return "an answer that is not JSON"
	}
	switch a.stream.Kind {
	case Stock:
		if answer.Item != a.item || r.cfg.Expect != nil && answer.Count != r.cfg.Expect.Stock(a.item) {
			return fmt.Sprintf("stock %d of %q, asked for %q", answer.Count, answer.Item, a.item)
		}
	case Commit:
		if want := commitBody(a); string(answer.Order) != want {
			return fmt.Sprintf("commit of %s, want %s", answer.Order, want)
		}
	default:
		o.tokens = answer.Usage.CompletionTokens
		if answer.Usage.CompletionTokens != a.tokens {
			return fmt.Sprintf("%d tokens, want %d", answer.Usage.CompletionTokens, a.tokens)
		}
		if r.cfg.Expect != nil && answer.Text != r.expectedText(o.wireID, a.tokens) {
			return "a text that does not belong to the request"
		}
	}
	return ""
}

func (r *runner) expectedText(wireID string, tokens int) string {
	var b strings.Builder
	for n := 1; n <= tokens; n++ {
		b.WriteString(r.cfg.Expect.Token(wireID, n))
	}
	return b.String()
}

// shorten drops the method and URL that net/http puts before its errors.
func shorten(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}
