// Package dispatcher serves one client request from arrival to response: it waits for the
// scheduler to choose an upstream, sends the request there, relays the response as it
// arrives, and reports the result to the scheduler.
//
// Package tracker alone decides whether a request may be sent again and which outcome is
// reported to the caller. A stream that breaks off or goes silent is resumed after its
// last event. A response that carries the id of another request is never relayed.
// Refusals are problem documents (RFC 9457).
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Config{Upstreams: table, Clock: clock})
//	defer d.Close()
//	result := d.Serve(ctx, &dispatcher.Request{ID: id, WireID: wireID, ...}, queue, caller)
//
// Serve blocks until the request has ended. Call it from the goroutine that handles the
// client's request.
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

	"lentilwood.example/lentilwood/internal/governor"
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

// Caller is the connection to the client that sent the request.
type Caller interface {
	http.ResponseWriter
	Flush()
	// Pending returns the number of bytes written but not yet sent.
	Pending() int
	// Done returns a channel that is closed once the connection is gone.
	Done() <-chan struct{}
	// Disconnected reports whether the client has closed the connection. It may return
	// true before Done is closed.
	Disconnected() bool
}

// Queue is the scheduler's interface for a single request.
type Queue interface {
	// Actions delivers the Dispatch and Refuse actions for the request.
	Actions() <-chan messenger.Action
	// Notify passes an event to the scheduler. It does not block for long.
	Notify(messenger.Event)
}

// Upstreams looks up the policy of an upstream.
type Upstreams interface {
	Upstream(messenger.UpstreamID) (messenger.UpstreamPolicy, bool)
}

// Request is a client request to serve.
type Request struct {
	ID messenger.RequestID
	// WireID identifies the request to upstreams and in the response. It must be unique
	// in the fleet, because streams are resumed and canceled by it.
	WireID string
	// Arrive is the first event sent to the scheduler.
	Arrive messenger.Arrive
	// Route names the route of the request, and ConfigVersion the version of the configuration that
	// has it. They are for logs.
	Route         string
	ConfigVersion uint64
	Method        string
	// Host is the host name that the client requested.
	Host string
	// URI is the path and query sent to the upstream.
	URI    string
	Header http.Header
	Body   []byte
	Class  messenger.ClassPolicy
	// FirstOutputTimeout is how long an upstream may stay silent before its first output;
	// zero means the class's ProgressTimeout.
	FirstOutputTimeout time.Duration
	// Streaming is true if the response is expected to be an event stream. If the
	// upstream goes silent before the response head, the stream can then be resumed.
	Streaming bool
	// Key is the client's idempotency key; "" means none.
	Key string
	// Resumable is true if another upstream may continue the stream.
	Resumable bool
	// LastEvent is the id of the last event that the client received before this request;
	// valid if HasLastEvent is set.
	LastEvent    uint64
	HasLastEvent bool
	// Resumes is the id of the attempt that began the stream which the client resumes; "" if it begins
	// a new one or doesn't say.
	Resumes string
	// MaxSends limits the number of upstreams the request is sent to; zero means that
	// only Config.MaxAttempts applies.
	MaxSends int
}

// Result describes how a request ended.
type Result struct {
	Status int
	Run    messenger.RunState
	// Problem is the name of the problem document that was sent; "" means that the
	// upstream's response was relayed.
	Problem  string
	Upstream messenger.UpstreamID
	// SoftwareVersion is that of the last upstream that sent output; "" if none did.
	SoftwareVersion string
	// Tokens is the number of tokens that the upstream produced, as far as known.
	Tokens   float64
	Attempts int
	// Sends counts the upstreams that may have received the request.
	Sends   int
	Resumes int
	// MaxWriteDelay is the longest time from choosing an upstream to writing the request
	// to it, including rewrites on another connection.
	MaxWriteDelay time.Duration
	// Grounds holds the data on which a refusal was based, if known.
	Grounds *messenger.Grounds
	// CallerGone is true if the client disconnected before it had the complete response.
	CallerGone bool
	// Aborted is true if the response must be ended by closing the connection abruptly.
	Aborted bool
	// DispatchedAt, FirstOutputAt and FinishedAt are zero if the event did not occur.
	DispatchedAt, FirstOutputAt, FinishedAt time.Time
}

// Config configures a Dispatcher. Upstreams is required; the zero value of every other
// field is usable.
type Config struct {
	Upstreams Upstreams
	// Recorder stores idempotency keys. If nil, requests that carry a key are refused.
	Recorder Recorder
	Clock    timekeeper.Clock
	Log      *logrus.Logger
	// Seed seeds the retry jitter.
	Seed uint64
	// BufferBudget limits the bytes buffered for all callers; nil means a default budget.
	BufferBudget *relayer.Budget
	RelayLimits  relayer.Limits
	// Memory, if set, is the memory account that is charged for what upstreams send and no
	// request has taken yet.
	Memory *governor.Governor
	// CallerTimeout is how long a caller may read nothing while bytes are waiting for it.
	CallerTimeout time.Duration
	// Dial opens a connection to an upstream; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// UpstreamTLS is the TLS configuration for upstream connections; nil means no TLS.
	UpstreamTLS *tls.Config
	// ConnectTimeout limits how long connecting to an upstream may take.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept for reuse.
	IdleTimeout time.Duration
	// MaxResponseBytes limits the size of a response that is not an event stream.
	MaxResponseBytes int
	// MaxAttempts limits the attempts per request, not counting hedges.
	MaxAttempts int
	// MaxResumes limits consecutive resumes that yield no event.
	MaxResumes int
	// RetryRatio is the maximum ratio of retries to requests. RetryBurst is how many
	// retries may be made at once on top of that.
	RetryRatio float64
	RetryBurst int
	// RetryBudget replaces the budget that RetryRatio and RetryBurst configure.
	RetryBudget RetryBudget
	// Dialect defaults to Lentilwood's own protocol.
	Dialect Dialect
	// Quarantine, if set, keeps requests away from engines that they would end.
	Quarantine Quarantine
	// LastStandstill, if set, returns the last time during which the router's VM did not run,
	// including one that is just over. It is called from several goroutines.
	LastStandstill func() Standstill
	// OnLoad, if set, receives the load reports that responses carry.
	OnLoad func(messenger.LoadReport)
	// OnNotice, if set, receives the notices that responses carry, with the address that
	// sent the response. It is called from several goroutines.
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
	// streamTimes holds the times between events since the last TakeStreamTimes.
	streamTimes streamTimes

	probes probeSet

	mu  sync.Mutex
	rng *rand.Rand
	// quarantinable holds the requests in progress whose prompts have shared parts.
	quarantinable map[*inflightRequest]struct{}

	// background counts work that outlives its request, such as stream cancellations. closing
	// is closed when that work is to end early.
	background sync.WaitGroup
	closing    chan struct{}
	closeOnce  sync.Once
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
		closing:   make(chan struct{}),
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

// Serve serves a request to its end and always responds to the caller. It answers each
// Dispatch with exactly one Finish. Nothing is written to the caller after Serve returns.
// If ctx is canceled, the response says that the router is shutting down and whether the
// request ran.
func (d *Dispatcher) Serve(ctx context.Context, req *Request, q Queue, c Caller) Result {
	f := newInflightRequest(d, req, q, c)
	defer d.register(f)()
	f.run(ctx)
	return f.result
}

// Counters returns the counters of the Dispatcher.
func (d *Dispatcher) Counters() *Counters { return &d.counters }

// Close waits for background work to finish and closes all idle connections. Serve must
// not be called after Close.
func (d *Dispatcher) Close() {
	d.closeOnce.Do(func() { close(d.closing) })
	d.background.Wait()
	d.transport.Close()
}

// jitter returns a random duration in [0, limit).
func (d *Dispatcher) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.Int64N(int64(limit)))
}
