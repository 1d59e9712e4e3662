package router

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/conductor"
	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/coordinator"
	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/exchanger"
	"lentilwood.example/lentilwood/internal/governor"
	"lentilwood.example/lentilwood/internal/identifier"
	"lentilwood.example/lentilwood/internal/listener"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/meter"
	"lentilwood.example/lentilwood/internal/operator"
	"lentilwood.example/lentilwood/internal/poller"
	"lentilwood.example/lentilwood/internal/recorder"
	"lentilwood.example/lentilwood/internal/registrar"
	"lentilwood.example/lentilwood/internal/scheduler"
	"lentilwood.example/lentilwood/internal/storer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Config holds the settings and dependencies of a Router. Settings and Store are required.
type Config struct {
	Settings loader.Router
	// Store is the platform's store.
	Store storer.Store
	// Clock is the system's clock if nil.
	Clock timekeeper.Clock
	// Log is logrus's standard logger if nil.
	Log *logrus.Logger
	// DialPeer opens connections to other routers; nil means TCP. Tests replace it to cut
	// network links.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// Incarnation distinguishes restarts of the same router; zero means the current time.
	Incarnation uint64
}

// Router is one router of the fleet.
type Router struct {
	settings    loader.Router
	self        messenger.RouterID
	incarnation uint64
	clock       timekeeper.Clock
	log         *logrus.Logger

	store      *storer.Guard
	control    *control
	recorder   *recorder.Recorder
	dispatcher *dispatcher.Dispatcher
	poller     *poller.Poller
	conductor  *conductor.Conductor
	exchanger  *exchanger.Exchanger[envelope]
	meter      *meter.Meter
	quarantine *quarantine
	memory     *governor.Governor

	dialPeer func(ctx context.Context, address string) (net.Conn, error)

	callers   *listener.Listener
	operators *listener.Listener

	// accounts looks up client accounts by token.
	accounts      identifier.Identifier
	active        atomic.Pointer[activeConfig]
	ready         atomic.Pointer[readiness]
	draining      atomic.Bool
	startedAt     time.Time
	lastRequestID atomic.Uint64
	inProgress    atomic.Int64

	// requestsCtx is cancelled when a shutdown gives up on the requests in progress,
	// backgroundCtx when the router stops.
	requestsCtx      context.Context
	cancelRequests   context.CancelFunc
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
	goroutines       sync.WaitGroup

	// The fields below belong to the control goroutine.
	scheduler    *scheduler.Scheduler
	coordinator  *coordinator.Coordinator
	peers        registrar.PeersChange
	peerVersions map[messenger.RouterID]peerVersion
	// configReadiness is the readiness that the configurer last reported.
	configReadiness configurer.ReadyChange
	membersKnown    bool
	// controlScale is the factor by which the scheduler's count of control bytes is corrected.
	// lastScaleSample holds the byte counts at the last correction.
	lastScaleSample scaleSample
	controlScale    float64
	// evidenceSyncs tells which routers lack some of this one's evidence on prompt parts. rng
	// selects the routers that new evidence is sent to.
	evidenceSyncs map[messenger.RouterID]*evidenceSync
	rng           *rand.Rand
}

// readiness is the answer of the readiness check.
type readiness struct {
	ready  bool
	reason string
}

// New returns a Router that has not been started.
func New(cfg Config) *Router {
	if cfg.Clock == nil {
		cfg.Clock = timekeeper.System{}
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(cfg.Clock.Now().UnixMicro())
	}
	r := &Router{
		settings: cfg.Settings, self: messenger.RouterID(cfg.Settings.Name),
		incarnation: cfg.Incarnation, clock: cfg.Clock, log: cfg.Log,
		store:         storer.NewGuard(cfg.Store, cfg.Clock, cfg.Incarnation),
		meter:         meter.New(cfg.Clock, cfg.Settings.Metrics.Accounts),
		dialPeer:      cfg.DialPeer,
		peerVersions:  make(map[messenger.RouterID]peerVersion),
		controlScale:  minScale,
		evidenceSyncs: make(map[messenger.RouterID]*evidenceSync),
		rng:           rand.New(rand.NewPCG(cfg.Incarnation, cfg.Incarnation)), //nolint:gosec // spreads load, guards nothing
	}
	r.quarantine = newQuarantine(cfg.Clock, cfg.Log, r.meter, cfg.Settings.Quarantine)
	r.requestsCtx, r.cancelRequests = context.WithCancel(context.Background())
	r.backgroundCtx, r.cancelBackground = context.WithCancel(context.Background())
	r.ready.Store(&readiness{reason: string(configurer.NoConfiguration)})
	r.scheduler = scheduler.New(scheduler.Config{
		Self: r.self, Seed: cfg.Incarnation, ControlBytesPerSecond: cfg.Settings.Control.BytesPerSecond,
	})
	r.control = newControl(cfg.Clock, r.scheduler)
	r.control.fleet = r
	r.memory = newGovernor(cfg.Settings)
	r.registerGauges()
	r.conductor = conductor.New(conductor.Config{
		Self: r.self, Seed: cfg.Incarnation, Clock: cfg.Clock, Store: r.store.For(purposeJobs), Log: cfg.Log,
	})
	r.poller = poller.New(poller.Config{
		Self: r.self, Clock: cfg.Clock,
		OnLoad:  r.reportLoad,
		OnCache: func(c messenger.CacheReport) { r.control.submit(c) },
	})
	r.recorder = recorder.New(recorder.Config{
		Store: r.store.For(purposeIdempotency), Clock: cfg.Clock,
		Router: r.self, Incarnation: strconv.FormatUint(cfg.Incarnation, incarnationBase), Alive: r.mayStillRun,
	})
	r.dispatcher = dispatcher.New(dispatcher.Config{
		Upstreams: r, Recorder: r.recorder, Clock: cfg.Clock, Log: cfg.Log, Seed: cfg.Incarnation,
		Quarantine: r.quarantine, BufferBudget: answersBudget(r.memory), Memory: r.memory,
	})
	r.quarantine.onBegin = r.dispatcher.RecheckQuarantine
	r.quarantine.onNews = func() { r.control.callAsync(r.spreadEvidence) }
	return r
}

// Start opens the listeners and starts serving requests.
func (r *Router) Start() error {
	setMemoryLimit(r.settings.Memory * memoryLimitPercent / 100)
	if err := r.startListeners(); err != nil {
		r.cancelBackground()
		return err
	}
	r.startedAt = r.clock.Now()
	r.coordinator = coordinator.New(coordinator.Config{
		Self: registrar.Member{
			Router: r.self, Address: r.exchanger.Addr(), Domain: r.settings.FailureDomain, Incarnation: r.incarnation,
		},
		Seeds: r.settings.SeedPeers, Seed: r.incarnation,
	})
	r.goroutines.Go(func() { r.poller.Run(r.backgroundCtx) })
	r.goroutines.Go(func() { r.conductor.Run(r.backgroundCtx) })
	r.goroutines.Go(func() { r.control.run(r.backgroundCtx) })
	r.goroutines.Go(r.sweepRecords)
	r.goroutines.Go(func() { watchMemory(r.backgroundCtx, r.clock, r.log, r.memory, r.settings.Memory) })
	r.log.WithFields(logrus.Fields{
		eventField: "started", "router": r.self, "incarnation": r.incarnation,
		"callers": r.CallersAddr(), "operators": r.OperatorsAddr(),
	}).Info("router started")
	return nil
}

func (r *Router) startListeners() error {
	callersTLS, err := r.settings.Listeners.Callers.TLS.Config()
	if err != nil {
		return err
	}
	operatorsTLS, err := r.settings.Listeners.Operators.TLS.Config()
	if err != nil {
		return err
	}
	if err := r.startPeerListener(); err != nil {
		return err
	}
	callers := r.listenerConfig("callers", r.settings.Listeners.Callers, callersTLS, r.serveCaller)
	callers.Memory = r.memory
	r.callers, err = listener.Start(callers)
	if err != nil {
		return err
	}
	var operators identifier.Identifier
	if err := operators.Replace(operatorTokens(r.settings.Operators)); err != nil {
		return err
	}
	api := operator.NewHandler(newBackend(r), &operators)
	r.operators, err = listener.Start(r.listenerConfig("operators", r.settings.Listeners.Operators, operatorsTLS, func(c *listener.Caller, req *http.Request) {
		api.ServeHTTP(c, req)
	}))
	return err
}

// operatorTokens returns the operator tokens of the settings. The loader has already checked
// the digests.
func operatorTokens(operators []loader.Operator) []identifier.Entry {
	entries := make([]identifier.Entry, 0, len(operators))
	for _, o := range operators {
		entries = identifier.AppendEntry(entries, o.Name, o.TokenDigest)
	}
	return entries
}

func (r *Router) listenerConfig(name string, settings loader.Listener, tlsConfig *tls.Config, handler listener.Handler) listener.Config {
	limits := r.settings.Limits
	return listener.Config{
		Name: name, Address: settings.Address, TLS: tlsConfig,
		MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes,
		MaxPendingBytes: limits.MaxPendingBytes, MaxConns: limits.MaxConnections,
		ReadTimeout: limits.ReadTimeout, IdleTimeout: limits.IdleTimeout,
		Handler: handler, Log: r.log, Clock: r.clock,
		OnRejected: func(problem string) {
			r.meter.Counter(listenerRefusals(name, problem)).Inc()
		},
	}
}

// CallersAddr returns the address of the listener for callers.
func (r *Router) CallersAddr() string { return r.callers.Addr() }

// OperatorsAddr returns the address of the listener for operators.
func (r *Router) OperatorsAddr() string { return r.operators.Addr() }

// PeersAddr returns the address of the listener for other routers.
func (r *Router) PeersAddr() string { return r.exchanger.Addr() }

// InProgress returns the number of requests of callers in progress.
func (r *Router) InProgress() int { return int(r.inProgress.Load()) }

// Ready reports whether the router is ready to serve callers, and the reason if it is not.
func (r *Router) Ready() (bool, string) {
	if r.draining.Load() {
		return false, "shutting-down"
	}
	state := r.ready.Load()
	return state.ready, state.reason
}

// reportLoad forwards an upstream's load report to the scheduler and the coordinator.
func (r *Router) reportLoad(report messenger.LoadReport, leaving bool) {
	r.control.submit(report)
	r.control.submit(coordinator.LoadReport{Upstream: report.Upstream, Leaving: leaving})
}

// Shutdown marks the router not ready, waits for the load balancer to notice, finishes the
// requests in progress and stops. If ctx ends or the drain limit passes first, the remaining
// requests are aborted and the error says how many.
func (r *Router) Shutdown(ctx context.Context) error {
	r.draining.Store(true)
	r.control.submit(coordinator.Leave{})
	r.log.WithField(eventField, "draining").WithField("inProgress", r.inProgress.Load()).Info("not ready; waiting for the load balancer to notice")
	select {
	case <-ctx.Done():
	case <-r.clock.After(r.settings.BalancerLag):
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.DrainLimit)
	defer cancel()
	err := r.callers.Shutdown(ctx)
	r.cancelRequests()
	r.dispatcher.Close()
	stopCtx, stopCancel := context.WithTimeout(context.Background(), time.Second)
	defer stopCancel()
	_ = r.operators.Shutdown(stopCtx) // open connections of health probes may be cut
	r.control.call(func() { r.handleFleetEvent(coordinator.Stop{}) })
	r.cancelBackground()
	r.goroutines.Wait()
	r.exchanger.Stop()
	r.log.WithField(eventField, "stopped").Info("router stopped")
	return err
}
