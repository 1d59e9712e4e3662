package router

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/assigner"
	"lentilwood.example/lentilwood/internal/messenger"
)

// The functions in this file find the software version of a stream that a caller resumes.

// Sources of the version of a stream.
const (
	foundHere   = "thisRouter"
	foundByPlan = "plan"
	foundByRows = "rows"
	foundByPeer = "router"
	foundNot    = "unknown"
)

// ageMargin is added to the age that a stream can have: the time for which a request may be under way.
const ageMargin = 400 * time.Millisecond

// streamQuery asks for the version at which a stream began.
type streamQuery struct {
	pool messenger.PoolID
	// origin is the id of the attempt that began the stream, "" if the caller does not say.
	origin string
	// left is how long the caller still waits; zero if it doesn't say.
	left time.Duration
}

func (q streamQuery) id() assigner.StreamID { return assigner.HashStream(q.origin) }

// find returns the version at which a stream began, if it is known. It may read the store.
func (k *streamKeeper) find(ctx context.Context, q streamQuery) (version string, known bool) {
	version, source := k.lookUp(ctx, q)
	k.logFound(q, version, source)
	return version, source != foundNot
}

// lookUp returns the version at which a stream began, and how it was found.
func (k *streamKeeper) lookUp(ctx context.Context, q streamQuery) (version, source string) {
	if version, ok := k.Version(q.pool, q.id()); ok && q.origin != "" {
		return version, foundHere
	}
	if !k.readNewestPlans(ctx) {
		return "", foundNot
	}
	if version, ok := k.settled(q); ok {
		return version, foundByPlan
	}
	if q.origin == "" {
		return "", foundNot
	}
	if !k.hasOtherRouters() && k.readForCaller(ctx) {
		if version, ok := k.History(q.pool).Find(q.pool, q.id(), k.view(q)); ok {
			return version, foundByRows
		}
	}
	if version, ok := k.askOthers(ctx, q); ok {
		return version, foundByPeer
	}
	return "", foundNot
}

// settled returns the version of a stream if it follows from the plans alone.
func (k *streamKeeper) settled(q streamQuery) (version string, ok bool) {
	history, earliest := k.History(q.pool), k.earliestBegin(q)
	if q.origin == "" || k.hasOtherRouters() {
		version, ok = history.OnlyVersion(earliest)
		return version, ok && k.hasOneVersion(q.pool)
	}
	return history.Settled(earliest, q.id())
}

// earliestBegin returns the earliest time of the store at which a stream may have begun: callers wait
// for a stream no longer than the most patient ones of its pool.
func (k *streamKeeper) earliestBegin(q streamQuery) int64 {
	age := assigner.Lifetime
	if longest := k.longestWait(q.pool); q.left > 0 && q.left <= longest {
		age = longest - q.left + ageMargin
	}
	if k.delay != nil {
		age += k.delay()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	earliestMs, _ := k.storeTime(k.clock.Uptime())
	return earliestMs - age.Milliseconds()
}

// longestWait returns the longest that callers of a pool are known to wait.
func (k *streamKeeper) longestWait(pool messenger.PoolID) time.Duration {
	planned := k.History(pool).Patience()
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.patience[pool], planned)
}

// hasOtherRouters reports whether some routers begin streams without following plans.
func (k *streamKeeper) hasOtherRouters() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fleet.unassigned
}

// hasOneVersion reports whether all upstreams of a pool that take requests have the same version.
func (k *streamKeeper) hasOneVersion(pool messenger.PoolID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.capacities[pool]) <= 1
}

// readNewestPlans reports whether the known plans are the newest: by a read of the store that began after the
// caller came. The plan under which its stream began is among them, as a plan is written before it is used. What
// other routers say can't tell, as it may have been under way for long.
func (k *streamKeeper) readNewestPlans(ctx context.Context) bool {
	if k.store == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	if err := k.readSince(ctx, planKeyPrefix, k.clock.Uptime()); err != nil {
		k.entry("failed").WithError(err).Info("plans not read for a caller who resumes a stream")
		return false
	}
	epochs := k.Epochs()
	k.mu.Lock()
	defer k.mu.Unlock()
	return epochs > 0 && k.fleet.epochs <= epochs // the store may have come back without the newest
}

// readForCaller reads the rows unless that was done a moment ago, and reports whether they are known.
func (k *streamKeeper) readForCaller(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	k.mu.Lock()
	maxAge := rowsTTL + rowsTTLPerRouter*time.Duration(len(k.fleet.names))
	k.mu.Unlock()
	if err := k.readSince(ctx, allRows, k.clock.Uptime()-maxAge); err != nil {
		k.entry("failed").WithError(err).Info("rows about streams not read for a caller")
		return false
	}
	return true
}

// view returns what is known of the fleet's routers.
func (k *streamKeeper) view(q streamQuery) assigner.View {
	earliest := k.earliestBegin(q)
	k.mu.Lock()
	defer k.mu.Unlock()
	return assigner.View{
		EarliestMs: earliest, Rows: slices.Clone(k.stored.routers),
		HasRows: k.hasRows, Routers: k.fleet.names, Own: k.ownRow(),
	}
}

// logFound logs what is known of a stream that is resumed.
func (k *streamKeeper) logFound(q streamQuery, version, source string) {
	k.meter.Counter(fmt.Sprintf("lentilwood_streams_resumed_total{found=%q}", source)).Inc()
	k.mu.Lock()
	seen := k.fleet.epochs
	k.mu.Unlock()
	k.entry("resume").WithFields(logrus.Fields{
		"request": q.origin, "pool": q.pool, "softwareVersion": version, "found": source,
		"epoch": k.History(q.pool).Epoch(), "epochsSeen": seen, "plansAgeMs": k.plansAge().Milliseconds(),
	}).Info("stream is resumed")
}
