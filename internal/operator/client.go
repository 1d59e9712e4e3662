package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/identifier"
	"lentilwood.example/lentilwood/internal/verifier"
)

// Errors that callers tell apart with errors.Is.
var (
	// ErrNoRouter means that none of the routers answered; nothing was changed.
	ErrNoRouter = merry.Sentinel("no router answered")
	// ErrUnknown means that a change was sent and may have taken effect.
	ErrUnknown = merry.Sentinel("no router answered, the change may or may not have taken effect; see the history")
)

// maxAnswerBytes bounds what the client reads of one answer.
const maxAnswerBytes = 128 << 20

// ClientConfig says how to reach the routers.
type ClientConfig struct {
	// Routers are operators' addresses, host:port or a URL, tried in turn.
	Routers []string
	// Token is the operator's bearer token.
	Token string
	// TLS is used for routers with an https URL.
	TLS *tls.Config
	// Timeout bounds one try at one router; zero means no bound.
	Timeout time.Duration
}

// Client uses the API of whichever router answers.
type Client struct {
	routers []string
	token   string
	http    *http.Client
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{token: cfg.Token, http: &http.Client{
		Timeout:   cfg.Timeout,
		Transport: verifier.NewTransport(&http.Transport{TLSClientConfig: cfg.TLS}),
	}}
	for _, router := range cfg.Routers {
		if !strings.Contains(router, "://") {
			router = "http://" + router
		}
		c.routers = append(c.routers, strings.TrimSuffix(router, "/"))
	}
	return c
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (Config, error) {
	return get[Config](ctx, c, PathConfig)
}

// History returns the newest changes.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	return get[History](ctx, c, PathHistory+"?limit="+strconv.Itoa(limit))
}

// Versions says which router runs which version.
func (c *Client) Versions(ctx context.Context) (Versions, error) {
	return get[Versions](ctx, c, PathVersions)
}

// Status returns the fleet as the answering router sees it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, PathStatus)
}

// Account returns one client account in detail.
func (c *Client) Account(ctx context.Context, name string) (AccountStatus, error) {
	return get[AccountStatus](ctx, c, PathAccounts+"/"+url.PathEscape(name))
}

// Evacuations returns the plans that empty sites.
func (c *Client) Evacuations(ctx context.Context) (Evacuations, error) {
	return get[Evacuations](ctx, c, PathEvacuations)
}

// SetConfig replaces the configuration.
func (c *Client) SetConfig(ctx context.Context, r SetConfig) (Change, error) {
	return send[Change](ctx, c, http.MethodPut, PathConfig, &r)
}

// AddException adds an exception.
func (c *Client) AddException(ctx context.Context, r AddException) (Change, error) {
	return send[Change](ctx, c, http.MethodPost, PathExceptions, &r)
}

// RemoveException takes an exception back.
func (c *Client) RemoveException(ctx context.Context, r RemoveException) (Change, error) {
	return send[Change](ctx, c, http.MethodDelete, PathExceptions+"/"+url.PathEscape(r.ID), &r)
}

// Revert writes an earlier version as a new one.
func (c *Client) Revert(ctx context.Context, r Revert) (Change, error) {
	return send[Change](ctx, c, http.MethodPost, PathRevert, &r)
}

// Drain stops new work for an upstream.
func (c *Client) Drain(ctx context.Context, r Drain) (Change, error) {
	return send[Change](ctx, c, http.MethodPost, PathDrains, &r)
}

// Evacuate makes a plan that empties a site.
func (c *Client) Evacuate(ctx context.Context, r Evacuate) (Evacuation, error) {
	return send[Evacuation](ctx, c, http.MethodPost, PathEvacuations, &r)
}

// PauseEvacuation pauses a plan or lets it go on.
func (c *Client) PauseEvacuation(ctx context.Context, r PauseEvacuation) (Evacuation, error) {
	return send[Evacuation](ctx, c, http.MethodPost, PathEvacuationPause, &r)
}

func get[A any](ctx context.Context, c *Client, path string) (A, error) {
	return request[A](ctx, c, http.MethodGet, path, nil)
}

// send makes a change. The change keeps its id on every try, so a router that
// has applied it already answers with the same result.
func send[A any](ctx context.Context, c *Client, method, path string, r change) (A, error) {
	var zero A
	if p := r.precondition(); p.ChangeID == "" {
		p.ChangeID = rand.Text()
	}
	body, err := json.Marshal(r)
	if err != nil {
		return zero, merry.Prepend(err, "encoding the request")
	}
	answer, err := request[A](ctx, c, method, path, body)
	var problem *Problem
	if !errors.As(err, &problem) || problem.Conflict == nil || problem.Conflict.ChangeID != r.precondition().ChangeID {
		return answer, err
	}
	// An earlier try of this very change won; its answer was lost.
	if won, ok := any(*problem.Conflict).(A); ok {
		return won, nil
	}
	return answer, err
}

// request tries the routers in turn until one gives an answer that is final.
func request[A any](ctx context.Context, c *Client, method, path string, body []byte) (A, error) {
	var zero A
	failures := make([]string, 0, len(c.routers))
	failure := ErrNoRouter
	for _, router := range c.routers {
		answer, err := once[A](ctx, c, method, router+path, body)
		var problem *Problem
		if err == nil || errors.As(err, &problem) && problem.final() {
			return answer, err
		}
		failures = append(failures, fmt.Sprintf("%s: %v", router, shorten(err)))
		if body != nil && mayHaveRun(err) {
			failure = ErrUnknown
		}
		if ctx.Err() != nil {
			break
		}
	}
	return zero, merry.Prependf(failure, "%s", strings.Join(failures, "; "))
}

// mayHaveRun reports whether a request that failed with err may have taken
// effect.
func mayHaveRun(err error) bool {
	var problem *Problem
	if errors.As(err, &problem) {
		return problem.Type != ProblemUnavailable
	}
	var dial *net.OpError
	return !errors.As(err, &dial) || dial.Op != "dial"
}

// final reports whether another router would say the same.
func (p *Problem) final() bool {
	return p.Status < http.StatusInternalServerError
}

func once[A any](ctx context.Context, c *Client, method, target string, body []byte) (A, error) {
	var answer A
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	r.Header.Set(identifier.AuthorizationHeader, "Bearer "+c.token)
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := verifier.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return answer, merry.Prepend(err, "reading the answer")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return answer, problemOf(resp, data)
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, merry.Prepend(err, "the answer is not what a router sends")
	}
	return answer, nil
}

// problemOf reads the problem document of an answer, or makes one up if the
// other side is not a router.
func problemOf(resp *http.Response, data []byte) error {
	var p Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Type == "" {
		return merry.Errorf("the answer %s is not what a router sends", resp.Status)
	}
	p.Status = resp.StatusCode
	return &p
}

// shorten drops the method and URL that net/http puts before its errors.
func shorten(err error) error {
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		return urlErr.Err
	}
	return err
}
