package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/verifier"
)

// Paths of the platform's HTTP interface. Parameters travel in the query.
const (
	RowPath     = "/v1/row"
	ChangesPath = "/v1/changes"
	CommitPath  = "/v1/commit"
	ObjectPath  = "/v1/object"
	VMsPath     = "/v1/vms"
)

// maxAnswerBytes bounds an answer of the platform.
const maxAnswerBytes = 64 << 20

var errCutAnswer = merry.Sentinel("answer of the platform is cut short")

// Client speaks to the platform over HTTP and implements Store.
//
// It uses net/http rather than nbhttp.Client: a commit must tell a failure
// before the request left (nothing was written) from one after it (unknown),
// and a call must end with its context. nbhttp.Client reports neither.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// ClientConfig are the settings of a Client.
type ClientConfig struct {
	// URL is where the platform answers, such as "http://10.0.0.5:7400".
	URL string
	// Token is sent as a bearer token unless it is empty.
	Token string
	// Timeout bounds a whole call; zero means DefaultTimeout.
	Timeout time.Duration
	// Transport replaces the default transport; for tests and TLS.
	Transport *http.Transport
}

// DefaultTimeout bounds a call where the settings name no other limit.
const DefaultTimeout = 5 * time.Second

// NewClient returns a client of the platform at cfg.URL.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: cfg.Timeout}).DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     30 * time.Second,
		}
	}
	return &Client{base: cfg.URL, token: cfg.Token, http: &http.Client{
		Transport: verifier.NewTransport(cfg.Transport), Timeout: cfg.Timeout,
	}}
}

// Read returns a row, or ErrNotFound.
func (c *Client) Read(ctx context.Context, table, key string) (Row, error) {
	var row Row
	err := c.get(ctx, RowPath, url.Values{"table": {table}, "key": {key}}, &row)
	return row, err
}

// Scan returns the rows of a table that changed after since, oldest first.
func (c *Client) Scan(ctx context.Context, table string, since uint64, limit int) ([]Row, error) {
	var rows []Row
	err := c.get(ctx, ChangesPath, url.Values{
		"table": {table},
		"since": {strconv.FormatUint(since, 10)},
		"limit": {strconv.Itoa(limit)},
	}, &rows)
	return rows, err
}

// Commit writes all of ops or none.
func (c *Client) Commit(ctx context.Context, ops []Op) error {
	body, err := json.Marshal(ops)
	if err != nil {
		return merry.Prepend(err, "encode the transaction")
	}
	return c.write(ctx, http.MethodPost, CommitPath, nil, body)
}

// PutObject writes an object whole.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.write(ctx, http.MethodPut, ObjectPath, url.Values{"name": {name}}, data)
}

// GetObject returns an object, or ErrNotFound.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, ObjectPath, url.Values{"name": {name}}, nil)
}

// VMs returns the lagging list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.get(ctx, VMsPath, nil, &vms)
	return vms, err
}

func (c *Client) get(ctx context.Context, path string, q url.Values, v any) error {
	data, err := c.call(ctx, http.MethodGet, path, q, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return merry.Prependf(ErrUnavailable, "decode the answer to %s: %v", path, err)
	}
	return nil
}

// write makes a call that changes something. Part of an answer does not count: without a length, it
// may have ended because the platform did, before it had read the whole call.
func (c *Client) write(ctx context.Context, method, path string, q url.Values, body []byte) error {
	data, err := c.call(ctx, method, path, q, body)
	if err != nil {
		return err
	}
	if !json.Valid(data) {
		return failure(method, path, true, errCutAnswer)
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, path string, q url.Values, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+q.Encode(), bytes.NewReader(body))
	if err != nil {
		return nil, merry.Prependf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	write := method != http.MethodGet
	res, err := c.http.Do(req)
	if err != nil {
		return nil, failure(method, path, write && !unsent(err), err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := verifier.ReadAll(res.Body, maxAnswerBytes)
	if err != nil {
		return nil, failure(method, path, write, err)
	}
	return data, statusError(method, path, res.StatusCode, write)
}

// unsent reports whether a call failed before the request could have left.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func failure(method, path string, unknown bool, err error) error {
	if unknown {
		return merry.Prependf(ErrUnknown, "%s %s: %v", method, path, err)
	}
	return merry.Prependf(ErrUnavailable, "%s %s: %v", method, path, err)
}

func statusError(method, path string, status int, write bool) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests, status < http.StatusInternalServerError:
		return merry.Prependf(ErrUnavailable, "%s %s: status %d", method, path, status)
	default:
		return failure(method, path, write, merry.Errorf("status %d", status))
	}
}
