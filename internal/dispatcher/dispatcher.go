// Package dispatcher carries one request from its arrival to its answer: it
// waits for the scheduler, sends the request to the upstream it is given,
// relays the answer as it comes, and tells the scheduler how it went.
//
// Whether a request may be sent again, and what the caller is told about it,
// is asked of package tracker alone. A stream that breaks off or goes silent
// is resumed after its last event; an answer that carries another request's id
// is never relayed; a refusal is a problem document of RFC 9457.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Config{Upstreams: table, Clock: clock})
//	defer d.Close()
//	result := d.Serve(ctx, &dispatcher.Request{ID: id, WireID: wireID, ...}, queue, caller)
//
// Serve blocks until the request has ended; it is called from the goroutine of
// the caller's request.
package dispatcher

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/relayer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Defaults of Config.
const (
	DefaultProgressTimeout  = 10 * time.Second
	DefaultCallerTimeout    = 60 * time.Second
	DefaultConnectTimeout   = 2 * time.Second
	DefaultIdleTimeout      = 30 * time.Second
	DefaultMaxResponseBytes = 16 << 20
	DefaultMaxAttempts      = 3
	DefaultMaxResumes       = 4
	DefaultRetryRatio       = 0.1
	DefaultRetryBurst       = 10
)

// Caller is the connection to the one who sent the request.
type Caller interface {
	http.ResponseWriter
	Flush()
	// Pending returns the bytes written and not yet sent.
	Pending() int
	// Done is closed once the connection is gone.
	Done() <-chan struct{}
	// Disconnected reports whether the caller has gone, before Done may say so.
	Disconnected() bool
}

// Queue is the scheduler as one request sees it.
type Queue interface {
	// Actions brings each Dispatch and Refuse of the request.
	Actions() <-chan messenger.Action
	// Notify passes an event on. It does not block for long.
	Notify(messenger.Event)
}

// Upstreams finds the settings of an upstream.
type Upstreams interface {
	Upstream(messenger.UpstreamID) (messenger.UpstreamPolicy, bool)
}

// Request is one request of a caller.
type Request struct {
	ID messenger.RequestID
	// WireID is the request's id towards upstreams and in the answer. It must
	// be unique in the fleet: a stream is resumed and canceled by it.
	WireID string
	// Arrive is what the scheduler is told first.
	Arrive messenger.Arrive
	Method string
	// Host is the host that the caller asked for.
	Host string
	// URI is the path and query to ask the upstream for.
	URI    string
	Header http.Header
	Body   []byte
	Class  messenger.ClassPolicy
	// FirstOutputTimeout is how long an upstream may be silent before its first output; zero
	// means as long as later.
	FirstOutputTimeout time.Duration
	// Streaming is true if the answer is expected as a stream of events, so
	// that silence before its head can be settled by a resume.
	Streaming bool
	// Key is the caller's idempotency key; "" means none.
	Key string
	// Resumable is true if another upstream may go on with the stream.
	Resumable bool
	// LastEvent is the last event that the caller had of the stream before this
	// request, if HasLastEvent.
	LastEvent    uint64
	HasLastEvent bool
	// MaxSends bounds the upstreams that are given the request; zero means that
	// only Config.MaxAttempts does.
	MaxSends int
}

// Result says how a request ended.
type Result struct {
	Status int
	Run    messenger.RunState
	// Problem is the name of the problem document that was sent; "" means that
	// the upstream's answer was relayed.
	Problem  string
	Upstream messenger.UpstreamID
	// Tokens is what the upstream produced, as far as it is known.
	Tokens   float64
	Attempts int
	// Sends counts the upstreams that may have been given the request.
	Sends   int
	Resumes int
	// MaxWriteDelay is the longest time from the choice of an upstream to the writing of the
	// request to it, also where it was written once more on another connection.
	MaxWriteDelay time.Duration
	// Grounds is what a refusal was decided on, where that is known.
	Grounds *messenger.Grounds
	// CallerGone is true if the caller left before its answer was whole.
	CallerGone bool
	// Aborted is true if the answer must end by cutting the connection.
	Aborted bool
	// DispatchedAt, FirstOutputAt and FinishedAt are zero where they did not happen.
	DispatchedAt, FirstOutputAt, FinishedAt time.Time
}

// Config is the settings of a Dispatcher. Upstreams is required; every other
// field has a usable zero value.
type Config struct {
	Upstreams Upstreams
	// Recorder keeps idempotency keys; nil refuses requests that carry one.
	Recorder Recorder
	Clock    timekeeper.Clock
	Log      *logrus.Logger
	// Seed seeds the jitter of retries.
	Seed uint64
	// BufferBudget bounds the bytes held for callers; nil takes a default one.
	BufferBudget *relayer.Budget
	RelayLimits  relayer.Limits
	// CallerTimeout is how long a caller may take nothing of what waits for it.
	CallerTimeout time.Duration
	// Dial opens a connection to an upstream; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// UpstreamTLS is how upstreams are spoken to; nil means without TLS.
	UpstreamTLS *tls.Config
	// ConnectTimeout bounds the opening of a connection to an upstream.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept for reuse.
	IdleTimeout time.Duration
	// MaxResponseBytes bounds an answer that is not a stream of events.
	MaxResponseBytes int
	// MaxAttempts bounds the attempts of one request, hedges not counted.
	MaxAttempts int
	// MaxResumes bounds the resumes in a row that bring no event.
	MaxResumes int
	// RetryRatio is the largest share of retries among requests, RetryBurst
	// how many may come at once on top.
	RetryRatio float64
	RetryBurst int
	// RetryBudget replaces the budget of RetryRatio and RetryBurst.
	RetryBudget RetryBudget
	// Dialect is lentilwood's own if nil.
	Dialect Dialect
	// OnLoad, if set, gets what answers say of the load of their upstreams.
	OnLoad func(messenger.LoadReport)
	// OnNotice, if set, gets what answers say of the wishes of their upstreams, with the
	// address that answered. It is
	// called from several goroutines.
	OnNotice func(id messenger.UpstreamID, address string, n Notice)
}

// Dispatcher sends requests to upstreams. It is safe for concurrent use.
type Dispatcher struct {
	cfg       Config
	transport transport
	budget    RetryBudget
	dialect   Dialect
	traits    Traits
	live      liveExchanges
	counters  Counters

	mu  sync.Mutex
	rng *rand.Rand

	// background counts the work that outlives its request, such as cancels.
	background sync.WaitGroup
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	setDefaults(&cfg)
	return &Dispatcher{
		cfg:       cfg,
		transport: newConnTransport(cfg.Clock, cfg),
		budget:    cfg.RetryBudget,
		dialect:   cfg.Dialect,
		traits:    cfg.Dialect.Traits(),
		rng:       rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
}

func setDefaults(cfg *Config) {
	if cfg.Clock == nil {
		cfg.Clock = timekeeper.System{}
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.BufferBudget == nil {
		cfg.BufferBudget = relayer.NewBudget(0)
	}
	setDuration(&cfg.CallerTimeout, DefaultCallerTimeout)
	setDuration(&cfg.ConnectTimeout, DefaultConnectTimeout)
	setDuration(&cfg.IdleTimeout, DefaultIdleTimeout)
	setInt(&cfg.MaxResponseBytes, DefaultMaxResponseBytes)
	setInt(&cfg.MaxAttempts, DefaultMaxAttempts)
	setInt(&cfg.MaxResumes, DefaultMaxResumes)
	setInt(&cfg.RetryBurst, DefaultRetryBurst)
	if cfg.RetryRatio <= 0 {
		cfg.RetryRatio = DefaultRetryRatio
	}
	if cfg.RetryBudget == nil {
		cfg.RetryBudget = newTokenBucketBudget(cfg.RetryRatio, cfg.RetryBurst)
	}
	if cfg.Dialect == nil {
		cfg.Dialect = ownDialect{}
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n <= 0 {
		*n = value
	}
}

// Serve carries a request to its end and answers the caller in every case.
// Each Dispatch that it is given is answered by exactly one Finish. When it
// returns, the caller has been given everything that it will be given. Work
// that ctx ends is answered truthfully.
func (d *Dispatcher) Serve(ctx context.Context, req *Request, q Queue, c Caller) Result {
	f := newInflightRequest(d, req, q, c)
	f.run(ctx)
	return f.result
}

// Counters returns what the Dispatcher has counted.
func (d *Dispatcher) Counters() *Counters { return &d.counters }

// Close waits for the work that outlived its requests and closes all idle
// connections. Serve must not be called after it.
func (d *Dispatcher) Close() {
	d.background.Wait()
	d.transport.Close()
}

// jitter returns a random duration from 0 to limit.
func (d *Dispatcher) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.Int64N(int64(limit)))
}
