package router

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/admitter"
	"lentilwood.example/lentilwood/internal/budgeter"
	"lentilwood.example/lentilwood/internal/collector"
	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/exchanger"
	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/gossiper"
	"lentilwood.example/lentilwood/internal/listener"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/meter"
	"lentilwood.example/lentilwood/internal/relayer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

const (
	// connectTimeout bounds opening a connection to an upstream: one in the
	// same region answers within milliseconds, or after one lost packet.
	connectTimeout = 450 * time.Millisecond
	// upstreamIdle is how long a kept connection to an upstream is used that
	// did not say how long it keeps it.
	upstreamIdleTimeout = 3 * time.Second
	// resends bounds the attempts of one request, declined ones included.
	maxAttempts = 4
	// budgetShare bounds what is held for slow callers, as a part of the memory.
	relayBudgetDivisor = 8
	// memoryShare is the part of the VM's memory that the runtime aims to stay
	// under, in percent.
	memoryLimitPercent = 70
)

// Directory is where the routers of a fleet find each other.
type Directory interface {
	// Announce writes this router's entry, replacing an older one.
	Announce(ctx context.Context, m Member) error
	// Withdraw removes an entry.
	Withdraw(ctx context.Context, name string) error
	// Members returns all entries. An error beside entries says that some
	// could not be read.
	Members(ctx context.Context) ([]Member, error)
}

// HeaderReader reads what callers' headers say.
type HeaderReader interface {
	Read(h http.Header) CallerHeaders
	// Key returns the key that names the client account, or "" if there is none.
	Key(h http.Header) string
}

// CallerHeaders is what a caller's header says of its request.
type CallerHeaders struct {
	// RequestID is the caller's id of this try; another try has another one.
	RequestID string
	// Key names the client account.
	Key string
	// Deadline is how long the caller waits; zero if it does not say.
	Deadline time.Duration
	// LastEvent is the last event of the stream that the caller has, if
	// HasLastEvent.
	LastEvent    uint64
	HasLastEvent bool
	Work         messenger.Work
}

// HostedConfig is what a Hosted router is made of. Clock and Log may be left
// out.
type HostedConfig struct {
	Settings     loader.Router
	Source       follower.Source
	Directory    Directory
	Decoder      follower.Decoder
	Dialect      dispatcher.Dialect
	HeaderReader HeaderReader
	Clock        timekeeper.Clock
	Log          *logrus.Logger
}

// Hosted is a router on a platform that keeps the configuration and the list
// of upstreams itself. It takes no part in editing the configuration, in orders
// to upstreams or in emptying a site, and keeps no records of its own.
type Hosted struct {
	cfg         HostedConfig
	settings    loader.Router
	self        messenger.RouterID
	incarnation uint64
	clock       timekeeper.Clock
	log         *logrus.Logger

	control    *control
	admitter   *admitter.Admitter
	dispatcher *dispatcher.Dispatcher
	budget     *budgeter.Budgeter
	meter      *meter.Meter
	exchanger  *exchanger.Exchanger[hostedEnvelope]
	callers    *listener.Listener
	operators  *listener.Listener

	snapshot    atomic.Pointer[follower.Snapshot]
	draining    atomic.Bool
	lastRequest atomic.Uint64
	inProgress  atomic.Int64
	peerCount   atomic.Int64
	// newsAt is when another router was last heard, in Unix microseconds.
	lastPeerMessageMicros atomic.Int64
	// strained is true while new callers are sent elsewhere.
	outOfRotation atomic.Bool
	// turningAway is true while a share of the new connections is turned away.
	rejectingConns atomic.Bool
	// shut is true while hardly any of them is taken in.
	atMinAdmission atomic.Bool
	// refusedUnread counts the connections and requests that the listeners
	// refused since that was logged.
	refusedUnread atomic.Int64
	// pauses are the upstreams that want nothing for a while.
	pauses pauseTable
	// workload counts what the router spends its processor time on.
	workload workload
	// lagging is true if others follow the store for this router, collecting if it
	// collects what others do.
	storeDelegated, collecting atomic.Bool
	// lostTables counts the tables of the store that cannot be followed now.
	unreachableTables atomic.Int32

	requestsCtx      context.Context
	cancelRequests   context.CancelFunc
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
	goroutines       sync.WaitGroup

	// The control goroutine owns the rest.
	overload overload
	// overloaded is true while callers are to leave their connections as well.
	overloaded bool
	follower   *follower.Follower
	peers      map[string]*hostedPeer
	// feeders are the routers that follow the store closely, and send the others
	// what they lack.
	storeFollowers []gossiper.Member
	// collector sums up what other routers tell; reporter decides which router this one
	// reports to while it does not collect itself; chosen are the other routers that
	// should collect.
	collector         collector.Collector
	reporter          gossiper.Reporter
	electedCollectors []gossiper.Member
	// roster is the routers that chosen were taken from, this one included; isChosen is
	// true if it should collect itself. Both are worked out once rosterChanged is true.
	collectorCandidates            []gossiper.Member
	selfElected, candidatesChanged bool
	// allTellAll is true in a small fleet, where each router tells each other one.
	fullMesh bool
	// startedAt is when the router started, and joined is true once it has read which
	// others there are.
	startedAt time.Time
	joined    bool
	// strainedOthers counts the routers that send their callers elsewhere.
	peersOutOfRotation int
	// pulls are asked for the tables that this router lacks rows of. The map itself
	// never changes.
	pulls map[follower.Table]*pull
	// shared is when the others were last told of this router, and sequence the
	// number of that message.
	lastGossip time.Time
	sequence   uint64
}

// NewHosted returns a Hosted router that is not yet started.
func NewHosted(cfg HostedConfig) *Hosted {
	if cfg.Clock == nil {
		cfg.Clock = timekeeper.System{}
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	h := &Hosted{
		cfg: cfg, settings: cfg.Settings, self: messenger.RouterID(cfg.Settings.Name),
		clock: cfg.Clock, log: cfg.Log,
		incarnation: uint64(cfg.Clock.Now().UnixMicro()), startedAt: cfg.Clock.Now(),
		meter:    meter.New(cfg.Clock, cfg.Settings.Metrics.Accounts),
		follower: follower.New(cfg.Decoder),
		peers:    make(map[string]*hostedPeer),
		overload: overload{runQueue: &runQueue{}}, candidatesChanged: true,
		pulls: newPulls(),
	}
	if cfg.Dialect != nil {
		h.cfg.Dialect = closingDialect{Dialect: cfg.Dialect, shouldClose: h.rejectingConns.Load}
	}
	h.requestsCtx, h.cancelRequests = context.WithCancel(context.Background())
	h.backgroundCtx, h.cancelBackground = context.WithCancel(context.Background())
	retries := cfg.Settings.Retries
	h.budget = budgeter.New(cfg.Clock, budgeter.Bounds{Ratio: retries.Ratio, Extra: retries.Extra, Window: retries.Window})
	h.admitter = admitter.New(admitter.Config{Self: h.self, Domain: cfg.Settings.FailureDomain, Seed: h.incarnation})
	h.control = newControl(cfg.Clock, h.admitter)
	h.control.onTick = h.tick
	h.control.onDecision = h.workload.recordDecision
	h.control.isIdle = func() bool { return !h.admitter.HasWaiting() }
	h.registerGauges()
	h.dispatcher = dispatcher.New(dispatcher.Config{
		Upstreams: h, Clock: cfg.Clock, Log: cfg.Log, Seed: h.incarnation,
		BufferBudget:   relayer.NewBudget(int64(cfg.Settings.Memory) << 20 / relayBudgetDivisor),
		ConnectTimeout: connectTimeout, IdleTimeout: upstreamIdleTimeout,
		MaxAttempts: maxAttempts, RetryBudget: h.budget, Dialect: h.cfg.Dialect,
		OnLoad:   func(report messenger.LoadReport) { h.control.submit(report) },
		OnNotice: h.handleNotice,
	})
	return h
}

// notice takes in what an upstream said of its wishes. A pause holds at once, also for
// requests that the upstream was chosen for before.
func (h *Hosted) handleNotice(id messenger.UpstreamID, address string, n dispatcher.Notice) {
	if n.Pause > 0 && !h.recordPause(id, address, n.Pause) {
		n.Pause = 0
	}
	h.control.callAsync(func() { h.applyNotice(id, address, n) })
}

// notePause notes that an upstream wants nothing for a time. It reports whether the process
// that is registered now stands at the address that said so.
func (h *Hosted) recordPause(id messenger.UpstreamID, address string, d time.Duration) bool {
	s := h.snapshot.Load()
	if s == nil {
		return false
	}
	u, ok := s.Policy.Upstreams[id]
	if !ok || u.Address != address {
		return false
	}
	h.pauses.record(id, u.Started, h.clock.Now().Add(d))
	return true
}

// decideByNotice takes in what an upstream said of its wishes for later decisions. It runs on
// the control goroutine.
func (h *Hosted) applyNotice(id messenger.UpstreamID, address string, n dispatcher.Notice) {
	if n.Pause > 0 {
		h.log.WithFields(logrus.Fields{eventField: "pause", upstreamField: id, "ms": n.Pause.Milliseconds()}).Info("upstream wants nothing for a while")
		h.control.handle(messenger.Pause{Upstream: id, For: n.Pause})
	}
	if n.Leaving && h.follower.NoteDeparture(id, address) {
		h.log.WithFields(logrus.Fields{eventField: "departure", upstreamField: id}).Info("upstream says that it leaves")
		h.publishSnapshot(sourceUpstream)
	}
}

// Start opens the listeners and begins to follow the platform's store.
func (h *Hosted) Start() error {
	setMemoryLimit(h.settings.Memory * memoryLimitPercent / 100)
	if err := h.startListeners(); err != nil {
		h.cancelBackground()
		return err
	}
	h.goroutines.Go(func() { h.control.run(h.backgroundCtx) })
	for _, table := range follower.Tables {
		h.startFeed(table)
	}
	h.goroutines.Go(h.join)
	h.log.WithFields(logrus.Fields{
		eventField: "started", "router": h.self, "incarnation": h.incarnation, "callers": h.callers.Addr(),
	}).Info("router started")
	return nil
}

func (h *Hosted) startListeners() error {
	key, err := h.settings.ReadPeerKey()
	if err != nil {
		return err
	}
	h.exchanger = exchanger.New(exchanger.Config[hostedEnvelope]{
		Name: string(h.self), Address: h.settings.Listeners.Peers.Address, Key: key,
		Handler: func(_ string, e hostedEnvelope) {
			h.control.callAsync(func() { h.receive(e) })
		},
		Clock: h.clock, Log: h.log, QueueLength: peerQueueLength, CallTimeout: peerCallTimeout,
	})
	if err := h.exchanger.Start(); err != nil {
		return err
	}
	callers := h.listenerConfig("callers", h.settings.Listeners.Callers, h.serveCaller)
	callers.IdentifyCaller = h.accountName
	h.callers, err = listener.Start(callers)
	if err != nil {
		return err
	}
	h.operators, err = listener.Start(h.listenerConfig("operators", h.settings.Listeners.Operators, h.serveOperator))
	return err
}

func (h *Hosted) listenerConfig(name string, l loader.Listener, handler listener.Handler) listener.Config {
	limits := h.settings.Limits
	return listener.Config{
		Name: name, Address: l.Address,
		MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes,
		MaxPendingBytes: limits.MaxPendingBytes, MaxConns: maxCallerConns(limits),
		ReadTimeout: limits.ReadTimeout, IdleTimeout: limits.IdleTimeout,
		Handler: handler, Log: h.log, Clock: h.clock,
		OnRejected: func(problem string) {
			h.meter.Counter(listenerRefusals(name, problem)).Inc()
			h.refusedUnread.Add(1)
		},
	}
}

// callersBound returns how many connections of callers may be open.
func maxCallerConns(limits loader.Limits) int {
	if limits.MaxOpenFiles <= 0 {
		return limits.MaxConnections
	}
	return min(limits.MaxConnections, max(1, limits.MaxOpenFiles/2))
}

// serveOperator answers the readiness check and shows the metrics.
func (h *Hosted) serveOperator(c *listener.Caller, req *http.Request) {
	switch req.URL.Path {
	case "/readyz":
		if ready, reason := h.Ready(); !ready {
			http.Error(c, reason, http.StatusServiceUnavailable)
			return
		}
		c.WriteHeader(http.StatusOK)
	case "/metrics":
		h.writeMetrics(c)
	default:
		http.NotFound(c, req)
	}
}

// Ready reports whether the router serves callers, and if not, why.
func (h *Hosted) Ready() (bool, string) {
	switch {
	case h.draining.Load():
		return false, "shutting-down"
	case h.snapshot.Load() == nil:
		return false, "no-configuration"
	case h.outOfRotation.Load():
		return false, "overloaded"
	}
	return true, ""
}

// Upstream returns the settings of an upstream, and whether it may be used.
func (h *Hosted) Upstream(id messenger.UpstreamID) (messenger.UpstreamPolicy, bool) {
	s := h.snapshot.Load()
	if s == nil {
		return messenger.UpstreamPolicy{}, false
	}
	u, ok := s.Policy.Upstreams[id]
	return u, ok && !u.Leaving && !h.pauses.isPaused(id, u.Started, h.clock.Now())
}

// tick runs on the control goroutine at every tick.
func (h *Hosted) tick(b tickTiming) {
	h.expireDroppedRegistrations()
	h.updateOverload(b)
	h.gossip()
}

// expire takes dropped registrations out that are believed no longer.
func (h *Hosted) expireDroppedRegistrations() {
	if h.follower.Expire(h.clock.Now()) {
		h.publishSnapshot(sourceExpiry)
	}
}

// pathOf returns the path of a request without its query.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}
