package router

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/assigner"
	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/meter"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

const (
	// planInterval is the minimum time between two plans of a pool; each router adds planIntervalPerRouter,
	// as each of them writes a row for each plan. After a plan, streams that it moves can't be resumed elsewhere
	// for a moment, so it waits until most upstreams of a release have joined.
	planInterval          = 4 * time.Second
	planIntervalPerRouter = 25 * time.Millisecond
	// planTurn is the time between the turns of two routers to make a plan.
	planTurn = 150 * time.Millisecond
	// streamStep is the time between two looks at what is to be done, idleStreamStep if that is nothing.
	streamStep     = 50 * time.Millisecond
	idleStreamStep = 5 * time.Second
	// minStreamRetryDelay is the time to the next call of the store after one that failed; it doubles with each
	// further failure, up to maxStreamRetryDelay.
	minStreamRetryDelay = 200 * time.Millisecond
	maxStreamRetryDelay = 3 * time.Second
	// streamCallTimeout bounds a call of the store in the background, findTimeout one for which a caller waits.
	streamCallTimeout = 2 * time.Second
	findTimeout       = 400 * time.Millisecond
	// rowsTTL is how long rows that were read are used to look streams up; each router adds
	// rowsTTLPerRouter, as all of them may have to.
	rowsTTL          = 250 * time.Millisecond
	rowsTTLPerRouter = 5 * time.Millisecond
	// readSpacing is the minimum time between two reads; each router adds readSpacingPerRouter. Callers who
	// come meanwhile share the next one.
	readSpacing          = 20 * time.Millisecond
	readSpacingPerRouter = 500 * time.Microsecond
)

// fleetView is what the control goroutine knows of the other routers.
type fleetView struct {
	// names are those of all known routers, this one included.
	names []string
	// turn is this router's place in the order in which routers make a plan.
	turn int
	// joined is true once the directory of routers was read.
	joined bool
	// unassigned is true if some router doesn't follow plans, as routers of earlier releases.
	unassigned bool
	// epochs is the largest sum of epochs in a message.
	epochs uint64
}

// streamKeeper keeps the plans and rows of an Assigner in a StreamStore. It is safe for concurrent use.
type streamKeeper struct {
	assigner.Assigner
	// store is nil if nothing outlives this router.
	store       StreamStore
	clock       timekeeper.Clock
	log         *logrus.Logger
	meter       *meter.Meter
	name        string
	incarnation uint64
	firstStart  bool
	// delay returns by how much longer than usual a request that is read now may have been under way; nil
	// means not at all.
	delay func() time.Duration
	// ask sends a question about a stream to the other routers; the channel receives how many are asked. It
	// is nil if there are none.
	ask       func(streamQuestion) <-chan int
	startedAt time.Duration
	wake      chan struct{}

	// reading holds a value while the rows are read, so that callers who wait share one call.
	reading chan struct{}

	mu         sync.Mutex
	capacities map[messenger.PoolID]map[string]int
	// patience is the longest that the callers of each pool are known to wait.
	patience map[messenger.PoolID]time.Duration
	fleet    fleetView
	// stored is what was read last; zero if nothing was. The calls that read its plans and the rows of routers
	// were made at the uptimes plansReadAt and rowsReadAt; hasPlans and hasRows are true once they were.
	stored                  storedStreams
	plansReadAt, rowsReadAt time.Duration
	hasPlans, hasRows       bool
	// storeClock tells the store's time, fresh as of when all plans are known.
	storeClock timekeeper.RemoteClock
	fresh      assigner.Freshness
	// failedAt is the uptime at which the store could last not be read, valid while failing is true.
	failedAt time.Duration
	failing  bool
	// unleased is true while streams begin by plans that may be out of use.
	unleased bool
	// changed is closed when a plan is learnt, and replaced.
	changed chan struct{}
	// questions are those that wait for answers, by number; lastQuestion is the newest number.
	questions    map[uint64]chan streamQuestion
	lastQuestion uint64
	// misfitSince is when the plan of a pool was first seen not to fit.
	misfitSince map[messenger.PoolID]time.Time
	// savedEpochs is the sum of epochs in the row that this router wrote last.
	savedEpochs uint64
	saved       bool
	// reload is true if the rows must be read before anything is written, restoring if the store may have
	// lost plans.
	reload, restoring bool
	// news is true while there are plans that were not sent to other routers at once.
	news bool
}

func newStreamKeeper(cfg HostedConfig, m *meter.Meter, incarnation uint64) *streamKeeper {
	k := &streamKeeper{
		store: cfg.Streams, clock: cfg.Clock, log: cfg.Log, meter: m, name: cfg.Settings.Name, incarnation: incarnation,
		firstStart: cfg.Settings.FirstStart, startedAt: cfg.Clock.Uptime(), wake: make(chan struct{}, 1), reading: make(chan struct{}, 1),
		misfitSince: make(map[messenger.PoolID]time.Time), patience: make(map[messenger.PoolID]time.Duration), reload: true,
		changed: make(chan struct{}),
	}
	m.Gauge("lentilwood_stream_plan_epochs", func() float64 { return float64(k.Epochs()) })
	m.Gauge("lentilwood_stream_plans_age_seconds", func() float64 { return k.plansAge().Seconds() })
	return k
}

// setUpstreams sets the upstreams that streams can be assigned to. Only pools with streams that may be
// resumed have plans.
func (k *streamKeeper) setUpstreams(s *follower.Snapshot) {
	capacities := make(map[messenger.PoolID]map[string]int)
	for _, u := range s.Policy.Upstreams {
		if !s.Table.IsResumable(u.Pool) || !u.AcceptsWork() {
			continue
		}
		if capacities[u.Pool] == nil {
			capacities[u.Pool] = make(map[string]int)
		}
		capacities[u.Pool][u.SoftwareVersion] += max(1, u.Window)
	}
	k.mu.Lock()
	k.capacities = capacities
	k.mu.Unlock()
	k.signal()
}

// recordPatience records that a caller of a pool waits for some time.
func (k *streamKeeper) recordPatience(pool messenger.PoolID, d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.patience[pool] = max(k.patience[pool], min(d, assigner.Lifetime))
}

// setFleet sets what is known of the other routers.
func (k *streamKeeper) setFleet(v fleetView) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fleet = v
}

// mergeAll takes over newer plans of another router or of the store.
func (k *streamKeeper) mergeAll(histories map[messenger.PoolID]assigner.History, source string) {
	for pool, history := range histories {
		if len(history.Plans) == 0 || !k.Merge(pool, history, k.latestStoreTime()) {
			continue
		}
		newest := history.Plans[len(history.Plans)-1]
		k.entry("plan").WithFields(logrus.Fields{
			"pool": pool, "epoch": newest.Epoch, "versions": newest.Versions, "from": source,
		}).Info("streams are assigned to software versions by a new plan")
		k.mu.Lock()
		k.news = true
		close(k.changed)
		k.changed = make(chan struct{})
		k.mu.Unlock()
		k.signal()
	}
}

// takeNews reports whether there are new plans since the last call.
func (k *streamKeeper) takeNews() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	news := k.news
	k.news = false
	return news
}

// forgetStored has the rows read and written again, after the store came back from an older copy.
func (k *streamKeeper) forgetStored() {
	k.mu.Lock()
	k.reload, k.restoring, k.saved, k.fresh = true, true, false, assigner.Freshness{}
	k.mu.Unlock()
	k.signal()
}

func (k *streamKeeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default: // already signaled
	}
}

// run keeps plans and rows until ctx ends.
func (k *streamKeeper) run(ctx context.Context) {
	retryDelay := minStreamRetryDelay
	for ctx.Err() == nil {
		wake := k.wake
		wait, err := k.step(ctx)
		if err == nil {
			retryDelay = minStreamRetryDelay
		} else {
			k.recordFailure()
			k.meter.Counter("lentilwood_stream_store_failures_total").Inc()
			k.entry("failed").WithError(err).Info("plans of streams not read or not written; retrying")
			wake, wait = nil, retryDelay
			retryDelay = min(2*retryDelay, maxStreamRetryDelay)
		}
		k.Expire(k.clock.Now())
		select {
		case <-ctx.Done():
		case <-wake:
		case <-k.clock.After(wait):
		}
	}
}

// step does what is due: it reads the rows, makes plans and writes this router's row. It returns when
// to look again.
func (k *streamKeeper) step(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, streamCallTimeout)
	defer cancel()
	renewal := k.untilRenewal()
	if k.needsReload() || renewal <= 0 {
		if err := k.read(ctx, planKeyPrefix); err != nil {
			return 0, err
		}
		renewal = k.untilRenewal()
	}
	wait := max(streamStep, min(idleStreamStep, renewal))
	for _, pool := range k.misfits() {
		wait = streamStep
		if !k.isTurn(pool) {
			continue
		}
		if err := k.makePlan(ctx, pool); err != nil {
			return 0, err
		}
	}
	if err := k.restorePlans(ctx); err != nil {
		return 0, err
	}
	return wait, k.saveRow(ctx)
}

func (k *streamKeeper) needsReload() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reload && k.store != nil
}

// storeTime returns the earliest and the latest time that the store's clock can show at an uptime. The caller
// holds mu.
func (k *streamKeeper) storeTime(uptime time.Duration) (earliestMs, latestMs int64) {
	if !k.storeClock.Known() {
		ms := (uptime - k.startedAt).Milliseconds()
		return ms, ms
	}
	return k.storeClock.EarliestMs(uptime), k.storeClock.LatestMs(uptime)
}

// latestStoreTime returns the latest time that the store's clock can show, or zero if that is not known.
func (k *streamKeeper) latestStoreTime() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.storeClock.Known() {
		return 0
	}
	return k.storeClock.LatestMs(k.clock.Uptime())
}

// entry returns a log entry for an event of the keeper.
func (k *streamKeeper) entry(state string) *logrus.Entry {
	return k.log.WithFields(logrus.Fields{eventField: "streams", "state": state})
}
