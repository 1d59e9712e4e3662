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
	"lentilwood.example/lentilwood/internal/governor"
	"lentilwood.example/lentilwood/internal/listener"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/meter"
	"lentilwood.example/lentilwood/internal/operator"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

const (
	// connectTimeout bounds connecting to an upstream. Upstreams in the same region answer
	// within milliseconds; the timeout leaves room for one retransmission after a lost packet.
	connectTimeout = 450 * time.Millisecond
	// upstreamIdleTimeout is how long an idle connection to an upstream is kept for reuse if
	// the upstream announces no keep-alive timeout.
	upstreamIdleTimeout = 3 * time.Second
	// maxOperatorBodyBytes bounds the bodies on the operators' port, whose handler reads none.
	// They are not in the memory account, so that a readiness check is never refused for it.
	maxOperatorBodyBytes = 4 << 10
	// maxAttempts bounds the attempts of one request, including those that an upstream
	// declined.
	maxAttempts = 4
)

// Directory is the registry in which the routers of a fleet find each other.
type Directory interface {
	// Announce writes this router's entry, replacing an existing one.
	Announce(ctx context.Context, m Member) error
	// Withdraw removes an entry.
	Withdraw(ctx context.Context, name string) error
	// Members returns all entries. If some could not be read, it returns the others together
	// with an error.
	Members(ctx context.Context) ([]Member, error)
}

// HeaderReader reads the request headers of callers.
type HeaderReader interface {
	Read(h http.Header) CallerHeaders
	// Key returns the API key that identifies the client account, or "" if there is none.
	Key(h http.Header) string
}

// CallerHeaders holds the values read from the headers of a request.
type CallerHeaders struct {
	// RequestID is the caller's id of this attempt; a retry has a new one.
	RequestID string
	// Key is the API key that identifies the client account.
	Key string
	// Deadline is how long the caller waits for the answer; zero if it is not given.
	Deadline time.Duration
	// LastEvent is the id of the last stream event that the caller received, valid if
	// HasLastEvent is set.
	LastEvent    uint64
	HasLastEvent bool
	// Resumes is the id of the attempt that brought the first event of the stream that the caller
	// resumes; "" if it begins a new one or doesn't say.
	Resumes string
	Work    messenger.Work
}

// HostedConfig holds the settings and dependencies of a Hosted router. Clock and Log may be
// nil.
type HostedConfig struct {
	Settings  loader.Router
	Source    follower.Source
	Directory Directory
	// Evidence, if set, keeps the evidence on quarantined prompt parts.
	Evidence EvidenceStore
	// Streams, if set, keeps the plans by which routers find the software versions of streams.
	Streams      StreamStore
	Decoder      follower.Decoder
	Dialect      dispatcher.Dialect
	HeaderReader HeaderReader
	Clock        timekeeper.Clock
	Log          *logrus.Logger
}

// Hosted is a router on a platform that manages the configuration and the list of upstreams
// itself. It does not edit the configuration, send orders to upstreams or evacuate sites, and
// it keeps no idempotency records.
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
	quarantine *quarantine
	streams    *streamKeeper
	// evidence keeps the evidence of the quarantine in the store; nil if there is no store for it.
	evidence  *evidenceKeeper
	memory    *governor.Governor
	callers   *listener.Listener
	operators *listener.Listener

	snapshot      atomic.Pointer[follower.Snapshot]
	draining      atomic.Bool
	lastRequestID atomic.Uint64
	inProgress    atomic.Int64
	peerCount     atomic.Int64
	// lastPeerMessageMicros is when the last message of another router was received, in Unix
	// microseconds.
	lastPeerMessageMicros atomic.Int64
	// outOfRotation is true while the router reports itself not ready because of overload.
	outOfRotation atomic.Bool
	// rejectingConns is true while a share of the new connections is rejected.
	rejectingConns atomic.Bool
	// atMinAdmission is true while the admitted share of new connections is at its minimum.
	atMinAdmission atomic.Bool
	// refusedUnread counts the connections and requests that the listeners rejected before a
	// handler saw them, since the log line on CPU saturation that last contained the count.
	refusedUnread atomic.Int64
	// pauses holds the upstreams that asked for no requests for some time.
	pauses pauseTable
	// cold holds the counts of cold upstreams and of the requests to them.
	cold coldCounts
	// standstills records when the router's VM did not run.
	standstills standstills
	// workload counts the work that used the router's CPU time.
	workload workload
	// storeDelegated is true if this router relies on other routers to follow the store,
	// collecting if it aggregates the load of the other routers.
	storeDelegated, collecting atomic.Bool
	// unreachableTables counts the tables of the store that can't be followed at present.
	unreachableTables atomic.Int32

	requestsCtx      context.Context
	cancelRequests   context.CancelFunc
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
	goroutines       sync.WaitGroup

	// The fields below belong to the control goroutine.
	overload overload
	// overloaded is true while the VM is overloaded; connections of callers are then closed
	// after their next answer.
	overloaded bool
	follower   *follower.Follower
	// mergeTime is how long the last batch of rows took to merge.
	mergeTime time.Duration
	peers     map[string]*hostedPeer
	// storeFollowers are the routers that continuously follow the store and send missing rows
	// to the other routers.
	storeFollowers []gossiper.Member
	// collector aggregates the loads that other routers send. reporter selects the router that
	// this one reports to while it is no collector itself. electedCollectors are the other
	// routers that should be collectors.
	collector         collector.Collector
	reporter          gossiper.Reporter
	electedCollectors []gossiper.Member
	// collectorCandidates are the routers from which the collectors are elected, this one
	// included; selfElected is true if this router is elected. Both are computed anew when
	// candidatesChanged is true.
	collectorCandidates            []gossiper.Member
	selfElected, candidatesChanged bool
	// fullMesh is true in a small fleet, in which every router sends its load to every other
	// one.
	fullMesh bool
	// startedAt is when the router started; joined is true once it has read the member
	// directory.
	startedAt time.Time
	joined    bool
	// peersOutOfRotation counts the other routers that are out of the rotation because of
	// overload.
	peersOutOfRotation int
	// pulls request rows of tables in which this router is behind. The map itself is never
	// modified.
	pulls map[follower.Table]*pull
	// lastGossip is when the other routers were last sent the state of this one, sequence the
	// number of that message.
	lastGossip time.Time
	sequence   uint64
	// streamTimesAt is when the times between events were last passed to the admitter.
	streamTimesAt time.Time
}

// NewHosted returns a Hosted router that has not been started.
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
	h.follower.LimitRows(follower.MaxRowBytes(cfg.Settings.Memory))
	h.requestsCtx, h.cancelRequests = context.WithCancel(context.Background())
	h.backgroundCtx, h.cancelBackground = context.WithCancel(context.Background())
	retries := cfg.Settings.Retries
	h.budget = budgeter.New(cfg.Clock, budgeter.Bounds{Ratio: retries.Ratio, Extra: retries.Extra, Window: retries.Window})
	h.budget.SetRouters(0) // until the directory was read or another router was met
	h.admitter = admitter.New(admitter.Config{Self: h.self, Domain: cfg.Settings.FailureDomain, Seed: h.incarnation})
	h.control = newControl(cfg.Clock, h.admitter)
	h.control.onTick = h.tick
	h.control.onDecision = h.workload.recordDecision
	h.control.isIdle = func() bool { return !h.admitter.HasWaiting() }
	h.memory = newGovernor(cfg.Settings)
	h.registerGauges()
	h.quarantine = newQuarantine(cfg.Clock, cfg.Log, h.meter, cfg.Settings.Quarantine)
	h.dispatcher = dispatcher.New(dispatcher.Config{
		Quarantine: h.quarantine, Upstreams: h, Clock: cfg.Clock, Log: cfg.Log, Seed: h.incarnation,
		BufferBudget: answersBudget(h.memory), Memory: h.memory,
		ConnectTimeout: connectTimeout, IdleTimeout: upstreamIdleTimeout,
		MaxAttempts: maxAttempts, RetryBudget: h.budget, Dialect: h.cfg.Dialect,
		LastStandstill: func() dispatcher.Standstill { return h.standstills.last(h.clock) },
		OnLoad:         func(report messenger.LoadReport) { h.control.submit(report) },
		OnNotice:       h.handleNotice,
	})
	h.quarantine.onBegin = h.dispatcher.RecheckQuarantine
	h.keepEvidence()
	h.streams = newStreamKeeper(h.cfg, h.meter, h.incarnation)
	h.streams.ask = h.sendQuestion
	h.streams.delay = func() time.Duration { return h.standstills.delay(h.clock) }
	return h
}

// handleNotice handles a notice in an upstream's answer. A pause takes effect at once, also
// for requests that have already been assigned to the upstream.
func (h *Hosted) handleNotice(id messenger.UpstreamID, address string, n dispatcher.Notice) {
	if n.Pause > 0 && !h.recordPause(id, address, n.Pause) {
		n.Pause = 0
	}
	h.dropOldColdNews(id, &n)
	if n == (dispatcher.Notice{}) {
		return
	}
	h.control.callAsync(func() { h.applyNotice(id, address, n) })
}

// recordPause records that an upstream asked for no requests for some time. It returns false
// if the address is not that of the process that is registered now.
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

// applyNotice applies a notice to later decisions. It runs on the control goroutine.
func (h *Hosted) applyNotice(id messenger.UpstreamID, address string, n dispatcher.Notice) {
	if n.Pause > 0 {
		h.log.WithFields(logrus.Fields{eventField: "pause", upstreamField: id, "ms": n.Pause.Milliseconds()}).Info("upstream asked for a pause")
		h.control.handle(messenger.Pause{Upstream: id, Duration: n.Pause})
	}
	if n.Leaving && h.follower.RecordDeparture(id, address) {
		h.log.WithFields(logrus.Fields{eventField: "departure", upstreamField: id}).Info("upstream announced that it is leaving")
		h.publishSnapshot(sourceUpstream)
	}
	h.applyColdNews(id, address, n)
}

// Start opens the listeners and starts following the platform's store.
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
	h.startEvidence()
	h.goroutines.Go(func() { h.streams.run(h.backgroundCtx) })
	h.goroutines.Go(func() { watchMemory(h.backgroundCtx, h.clock, h.log, h.memory, h.settings.Memory) })
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
	callers.IdentifyCaller, callers.Memory = h.accountName, h.memory
	h.callers, err = listener.Start(callers)
	if err != nil {
		return err
	}
	operators := h.listenerConfig("operators", h.settings.Listeners.Operators, h.serveOperator)
	operators.MaxBodyBytes = maxOperatorBodyBytes
	h.operators, err = listener.Start(operators)
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

// maxCallerConns returns the maximum number of open connections of callers: at most half of
// the files that the process may open.
func maxCallerConns(limits loader.Limits) int {
	if limits.MaxOpenFiles <= 0 {
		return limits.MaxConnections
	}
	return min(limits.MaxConnections, max(1, limits.MaxOpenFiles/2))
}

// serveOperator serves the readiness check and the metrics.
func (h *Hosted) serveOperator(c *listener.Caller, req *http.Request) {
	switch req.URL.Path {
	case "/readyz":
		if ready, reason := h.Ready(); !ready {
			http.Error(c, reason, http.StatusServiceUnavailable)
			return
		}
		c.WriteHeader(http.StatusOK)
	case operator.PathMetrics:
		h.writeMetrics(c)
	case operator.PathStatus:
		h.writeStatus(c)
	default:
		http.NotFound(c, req)
	}
}

// Ready reports whether the router is ready to serve callers, and the reason if it is not.
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

// Upstream returns the settings of an upstream, and whether requests may be sent to it.
func (h *Hosted) Upstream(id messenger.UpstreamID) (messenger.UpstreamPolicy, bool) {
	s := h.snapshot.Load()
	if s == nil {
		return messenger.UpstreamPolicy{}, false
	}
	u, ok := s.Policy.Upstreams[id]
	return u, ok && u.AcceptsWork() && !h.pauses.isPaused(id, u.Started, h.clock.Now())
}

// tick is called on the control goroutine at every tick.
func (h *Hosted) tick(t tickTiming) {
	h.standstills.recordTick(h.clock)
	h.expireDroppedRegistrations()
	h.cold.update(h.admitter.ColdStats())
	h.quarantine.tick()
	h.updateOverload(t)
	h.reportStreamTimes()
	h.gossip()
}

// expireDroppedRegistrations removes registrations that the store dropped and whose grace
// period has passed.
func (h *Hosted) expireDroppedRegistrations() {
	if h.follower.ExpireRegistrations(h.clock.Now()) {
		h.publishSnapshot(sourceExpiry)
	}
}

// pathOf returns the path of a request URI without the query.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}
