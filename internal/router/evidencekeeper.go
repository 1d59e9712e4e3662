package router

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/meter"
	"lentilwood.example/lentilwood/internal/quarantiner"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// EvidenceStore keeps one row with the evidence behind the quarantine of prompt parts, for the time
// in which all routers restart.
type EvidenceStore interface {
	// Load returns the row. A row that does not exist has no value and the version 0.
	Load(ctx context.Context) (EvidenceRow, error)
	// Save replaces the row if it still has the given version, and returns ErrEvidenceChanged if it
	// does not. After another error the row may be replaced or not, now or later.
	Save(ctx context.Context, version uint64, value []byte) error
}

// EvidenceRow is the row of an EvidenceStore.
type EvidenceRow struct {
	Value   []byte
	Version uint64
	// NowMs is the time of the store when it was read, by its monotonic clock.
	NowMs int64
}

// ErrEvidenceChanged means that the row has another version than expected.
var ErrEvidenceChanged = merry.Sentinel("row of evidence was changed meanwhile")

const (
	// firstSavers is how many routers write a new verdict at once, on average, spread over
	// saveSpread. Few restarts take that many at a time and leave others. spareSavers is how many
	// look after spareSaveDelay whether it is written.
	firstSavers, spareSavers = 8, 8
	saveSpread               = 100 * time.Millisecond
	spareSaveDelay           = 10 * time.Second
	// minSaveInterval is the time between two writings of a router.
	minSaveInterval = 5 * time.Second
	// evidenceTimeout bounds one call of the store.
	evidenceTimeout = 2 * time.Second
	// maxEvidenceTries is how often a reading or writing is tried before it is given up, with
	// pauses that double from firstEvidencePause to maxEvidencePause: about nine minutes.
	maxEvidenceTries   = 60
	firstEvidencePause = 100 * time.Millisecond
	maxEvidencePause   = 10 * time.Second
	// maxClearedParts bounds the parts that are remembered as cleared.
	maxClearedParts = 256
)

// evidenceKeeper reads the stored evidence when the router starts, and writes it when verdicts
// change. It is safe for concurrent use.
type evidenceKeeper struct {
	store      EvidenceStore
	clock      timekeeper.Clock
	log        *logrus.Logger
	quarantine *quarantine
	meter      *meter.Meter
	// unsaved is true while a verdict is to be written by this router.
	unsaved atomic.Bool
	// wake is signaled when a verdict is to be written.
	wake chan struct{}

	mu      sync.Mutex
	rng     *rand.Rand
	routers int
	// dueAt is when verdicts are to be written; zero if they are not.
	dueAt time.Time
	// cleared says when parts were cleared since this router last wrote the row.
	cleared map[messenger.ContentID]time.Time
	// changes counts the calls of handleChanges that were relevant.
	changes int
}

func newEvidenceKeeper(cfg HostedConfig, q *quarantine, m *meter.Meter, seed uint64) *evidenceKeeper {
	k := &evidenceKeeper{
		store: cfg.Evidence, clock: cfg.Clock, log: cfg.Log, quarantine: q, meter: m,
		wake: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(seed, seed)),
		routers: 1, cleared: make(map[messenger.ContentID]time.Time),
	}
	m.Gauge("lentilwood_evidence_unsaved", func() float64 { return toFloat(k.unsaved.Load()) })
	return k
}

// setRouters sets the number of routers in the fleet.
func (k *evidenceKeeper) setRouters(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.routers = n
}

// saveDelay returns when a router writes a verdict that has changed, and false if it leaves this to
// others. draw is a random number in [0, 1). In a fleet of any size few routers write.
func saveDelay(draw float64, routers int) (time.Duration, bool) {
	place := draw * float64(routers)
	switch {
	case place < firstSavers:
		return time.Duration(place / firstSavers * float64(saveSpread)), true
	case place < firstSavers+spareSavers:
		return spareSaveDelay + time.Duration(place/firstSavers*float64(saveSpread)), true
	}
	return 0, false
}

// handleChanges takes note of verdicts that have changed. A quarantine whose evidence has expired
// is no change, as the row expires by itself.
func (k *evidenceKeeper) handleChanges(changes []quarantiner.Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	relevant := false
	for _, c := range changes {
		delete(k.cleared, c.Part)
		if c.Cleared && len(k.cleared) < maxClearedParts {
			k.cleared[c.Part] = k.clock.Now()
		}
		relevant = relevant || c.Quarantined || c.Cleared
	}
	if !relevant {
		return
	}
	k.changes++
	delay, mine := saveDelay(k.rng.Float64(), k.routers)
	if !mine {
		return
	}
	if due := k.clock.Now().Add(delay); k.dueAt.IsZero() || due.Before(k.dueAt) {
		k.dueAt = due
	}
	k.unsaved.Store(true)
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run reads the row, and writes it when that is due, until ctx ends.
func (k *evidenceKeeper) run(ctx context.Context) {
	k.retry(ctx)
	for k.awaitDue(ctx) {
		k.retry(ctx)
		k.sleep(ctx, minSaveInterval)
	}
}

// awaitDue waits until verdicts are to be written. It returns false if ctx ended.
func (k *evidenceKeeper) awaitDue(ctx context.Context) bool {
	for {
		k.mu.Lock()
		dueAt := k.dueAt
		k.mu.Unlock()
		var due <-chan time.Time
		if !dueAt.IsZero() {
			due = k.clock.After(dueAt.Sub(k.clock.Now()))
		}
		select {
		case <-ctx.Done():
			return false
		case <-due:
			return true
		case <-k.wake:
		}
	}
}

// retry calls sync until it succeeds, a bounded number of times.
func (k *evidenceKeeper) retry(ctx context.Context) {
	pause := firstEvidencePause
	for try := range maxEvidenceTries {
		err := k.sync(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		k.meter.Counter("lentilwood_evidence_failures_total").Inc()
		k.entry("failed").WithError(err).WithField("tries", try+1).Info("evidence not read or not written; retrying")
		k.mu.Lock()
		jitter := time.Duration(k.rng.Int64N(int64(pause)))
		k.mu.Unlock()
		k.sleep(ctx, pause/2+jitter)
		pause = min(2*pause, maxEvidencePause)
	}
	k.mu.Lock()
	k.dueAt = time.Time{}
	k.mu.Unlock()
	k.entry("givenUp").Warn("evidence not read or not written")
}

// sleep waits for the duration d or until ctx ends.
func (k *evidenceKeeper) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-k.clock.After(d):
	}
}

// sync reads the row, adds its evidence to this router's, and writes the row if that is due and if
// it lacks a verdict. An answer that is lost or a row that was changed meanwhile is an error; the
// next call then starts from what the row holds.
func (k *evidenceKeeper) sync(ctx context.Context) error {
	now := k.clock.Now()
	due, changes, cleared := k.pending(now)
	row, stored, err := k.load(ctx)
	if err != nil {
		return err
	}
	known, _ := quarantiner.Combine(now, stored, quarantiner.Message{}, cleared)
	own := k.quarantine.mergeStored(known)
	if !due {
		return nil
	}
	combined, changed := quarantiner.Combine(k.clock.Now(), stored, own, cleared)
	if changed {
		if err := k.save(ctx, row, combined); err != nil {
			return err
		}
	}
	k.finish(changes)
	return nil
}

// pending returns whether verdicts are to be written now, how many changes of verdicts there were,
// and when parts were cleared.
func (k *evidenceKeeper) pending(now time.Time) (due bool, changes int, cleared map[messenger.ContentID]time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.dueAt.IsZero() && !now.Before(k.dueAt), k.changes, maps.Clone(k.cleared)
}

// finish records that the row has the verdicts as of a number of changes. If they have changed
// since, they stay due.
func (k *evidenceKeeper) finish(changes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changes != changes {
		return
	}
	clear(k.cleared)
	k.dueAt = time.Time{}
	k.unsaved.Store(false)
}

// load reads the row. One that can't be read holds no evidence.
func (k *evidenceKeeper) load(ctx context.Context) (EvidenceRow, quarantiner.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	k.meter.Counter("lentilwood_evidence_reads_total").Inc()
	row, err := k.store.Load(ctx)
	if err != nil {
		return row, quarantiner.Message{}, err
	}
	m, err := quarantiner.DecodeRow(row.Value, row.NowMs)
	entry := k.entry("read").WithFields(logrus.Fields{rowVersionField: row.Version, "nowMs": row.NowMs, "bytes": len(row.Value)})
	if err != nil {
		entry.WithError(err).Warn("row of evidence ignored")
		return row, m, nil
	}
	if row.Version != 0 {
		entry.WithFields(logrus.Fields{"crashes": len(m.Crashes), "parts": m.ConfirmedParts()}).Info("evidence read")
	}
	return row, m, nil
}

// save replaces the row.
func (k *evidenceKeeper) save(ctx context.Context, row EvidenceRow, m quarantiner.Message) error {
	value, err := quarantiner.EncodeRow(m, row.NowMs)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	k.meter.Counter("lentilwood_evidence_writes_total").Inc()
	if err := k.store.Save(ctx, row.Version, value); err != nil {
		return err
	}
	k.entry("written").WithFields(logrus.Fields{
		rowVersionField: row.Version, "nowMs": row.NowMs, "bytes": len(value), "crashes": len(m.Crashes), "parts": m.ConfirmedParts(),
	}).Info("evidence written")
	return nil
}

// entry returns a log entry for an event of the keeper.
func (k *evidenceKeeper) entry(state string) *logrus.Entry {
	return k.log.WithFields(logrus.Fields{eventField: "evidence", "state": state})
}
