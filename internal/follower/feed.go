package follower

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/timekeeper"
)

// ErrHistoryGone means that the store no longer has the changes since a
// version; the table must be read whole.
var ErrHistoryGone = merry.Sentinel("history of the table is gone")

const (
	// DefaultPollWait is how long the store may keep a call for changes waiting: a
	// connection that fell silent unnoticed delays a change by that much.
	DefaultPollWait = 1500 * time.Millisecond
	// answerSlack is how much longer than asked for an answer may take: a store that is
	// slow is not lost, and routers that take it for lost all ask it.
	answerSlack = time.Second
	// readTimeout bounds reading a whole table.
	readTimeout = 2 * time.Second
	// firstPause is the pause after a failed call, which doubles up to DefaultRetry.
	firstPause = 100 * time.Millisecond
	// leastAbsence is for how long the store has to be away before it can have dropped
	// upstreams that live: their entries lapse after three heartbeats, of 1.2 s each, that
	// did not reach it. leastFailures is how many calls fail then: a single one may have
	// been on a connection that ended or fell silent by itself.
	leastAbsence  = 2 * time.Second
	leastFailures = 2
	// DefaultMaxRetryDelay is the longest pause after a failed call.
	DefaultMaxRetryDelay = 400 * time.Millisecond
)

// Source is the platform's store as a Feed reads it.
type Source interface {
	// Read returns the whole table.
	Read(ctx context.Context, t Table) (Batch, error)
	// Changes waits until rows are newer than a version, or for wait.
	Changes(ctx context.Context, t Table, since uint64, wait time.Duration) (Batch, error)
}

// Feed follows one table of the store.
type Feed struct {
	Source Source
	Table  Table
	Clock  timekeeper.Clock
	Log    *logrus.Logger
	// PollWait returns how long the store may keep a call waiting; nil means
	// DefaultWait.
	PollWait func() time.Duration
	// CoalesceDelay returns how long changes are gathered after some came; nil means
	// not at all.
	CoalesceDelay func() time.Duration
	// StandbyTime returns for how long the table is left to other routers, which tell this one
	// of changes, before the next call; nil or zero means not at all.
	StandbyTime func() time.Duration
	// PeerVersion returns the newest version that other routers told of; nil means none.
	PeerVersion func() uint64
	// MaxRetryDelay returns the longest pause after a failed call; nil means DefaultRetry.
	MaxRetryDelay func() time.Duration
	// Wake ends a rest and a time in which changes are gathered; nil never does.
	Wake <-chan struct{}
	// OnBatch gets what was read.
	OnBatch func(Batch)
	// OnStoreChange is told when the store is lost and when it is regained; nil is not.
	OnStoreChange func(lost bool)

	since uint64
	// delivered is the version up to which rows were passed on.
	delivered uint64
	started   bool
	// failures counts the calls that failed since the last one that did not, and
	// failingSince is when the first of them began.
	failures     int
	failingSince time.Time
}

// Run follows the table until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		if f.rest(ctx) {
			continue
		}
		began := f.Clock.Now()
		changed, err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(began, err)
		if err == nil {
			pause = firstPause
			if changed && f.CoalesceDelay != nil {
				f.sleep(ctx, f.CoalesceDelay(), f.Wake)
			}
			continue
		}
		f.sleep(ctx, pause, nil)
		pause = min(2*pause, f.longestPause())
	}
}

func (f *Feed) longestPause() time.Duration {
	if f.MaxRetryDelay == nil {
		return DefaultMaxRetryDelay
	}
	return f.MaxRetryDelay()
}

// rest leaves the table to other routers for a while and reports whether nothing asked
// for a call meanwhile. A table that they tell of need not be read whole.
func (f *Feed) rest(ctx context.Context) bool {
	if f.StandbyTime == nil {
		return false
	}
	d := f.StandbyTime()
	if d <= 0 || f.failures > 0 {
		return false
	}
	woken := f.sleep(ctx, d, f.Wake)
	if f.PeerVersion != nil {
		if known := f.PeerVersion(); known > 0 {
			f.since, f.delivered, f.started = max(f.since, known), max(f.delivered, known), true
		}
	}
	return !woken
}

// step makes one call. It returns whether rows have changed since the one before.
func (f *Feed) step(ctx context.Context) (bool, error) {
	if !f.started {
		return false, f.read(ctx)
	}
	wait := DefaultPollWait
	if f.PollWait != nil {
		wait = f.PollWait()
	}
	if f.failures > 0 {
		wait = 0 // learn of the store's return, not of changes
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	b, err := f.Source.Changes(callCtx, f.Table, f.since, wait)
	if errors.Is(err, ErrHistoryGone) {
		f.Log.WithFields(logrus.Fields{"event": "historyGone", "table": f.Table, "since": f.since}).Info("reading the whole table again")
		f.started = false
		return false, f.read(ctx)
	}
	if err != nil {
		return false, err
	}
	f.take(b)
	return len(b.Rows) > 0, nil
}

// sleep returns after a time, or once it is woken, which it reports; a nil channel
// never wakes it.
func (f *Feed) sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) (woken bool) {
	select {
	case <-ctx.Done():
	case <-f.Clock.After(d):
	case <-wake:
		return true
	}
	return false
}

func (f *Feed) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	b, err := f.Source.Read(ctx, f.Table)
	if err != nil {
		return err
	}
	f.started = true
	f.take(b)
	return nil
}

func (f *Feed) take(b Batch) {
	f.since = max(f.since, b.Version)
	b.AfterOutage = f.wasAway()
	if len(b.Rows) == 0 && !b.Full {
		return
	}
	b.Since, f.delivered = f.delivered, max(f.delivered, b.Version)
	f.OnBatch(b)
}

// wasAway reports whether the store was away for so long that it may have dropped
// upstreams that live.
func (f *Feed) wasAway() bool {
	return f.failures >= leastFailures && f.Clock.Now().Sub(f.failingSince) >= leastAbsence
}

// note tells of a lost and of a regained store, once each, by how a call that began at a
// time went.
func (f *Feed) note(began time.Time, err error) {
	before := f.failures
	if err == nil {
		f.failures = 0
	} else {
		f.failures++
	}
	if (before > 0) == (f.failures > 0) {
		return
	}
	if f.OnStoreChange != nil {
		f.OnStoreChange(err != nil)
	}
	entry := f.Log.WithFields(logrus.Fields{"event": "store", "table": f.Table, "version": f.since})
	if err != nil {
		f.failingSince = began
		entry.WithError(err).Warn("store lost; serving by what is known")
		return
	}
	entry.WithField("failures", before).Info("store regained")
}
