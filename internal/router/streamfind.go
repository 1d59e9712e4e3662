package router

import (
	"context"
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
)

// ageMargin is added to the age that a stream can have.
const ageMargin = time.Second

// find returns the version at which a stream began, if it is known. An empty origin is a stream of which
// the caller does not say how it began. left is how long its caller still waits, or zero if it doesn't say.
// It may read the store.
func (k *streamKeeper) find(ctx context.Context, pool messenger.PoolID, origin string, left time.Duration) (version string, known bool) {
	id := assigner.HashStream(origin)
	if origin != "" {
		if version, known = k.Version(pool, id); known {
			return version, k.logFound(pool, origin, version, foundHere)
		}
	}
	if !k.hasNewestPlans() && !k.readForCaller(ctx) {
		return "", k.logFound(pool, origin, "", "")
	}
	if version, known = k.settled(pool, id, origin, left); known {
		return version, k.logFound(pool, origin, version, foundByPlan)
	}
	if origin == "" || !k.readForCaller(ctx) {
		return "", k.logFound(pool, origin, "", "")
	}
	if version, known = k.History(pool).Find(pool, id, k.view(pool, left)); !known || k.hasOtherRouters() {
		return "", k.logFound(pool, origin, "", "")
	}
	return version, k.logFound(pool, origin, version, foundByRows)
}

// settled returns the version of a stream if it follows from the plans alone.
func (k *streamKeeper) settled(pool messenger.PoolID, id assigner.StreamID, origin string, left time.Duration) (version string, ok bool) {
	if !k.hasNewestPlans() {
		return "", false
	}
	history, earliest := k.History(pool), k.earliestBegin(pool, left)
	if origin == "" || k.hasOtherRouters() {
		version, ok = history.OnlyVersion(earliest)
		return version, ok && k.hasOneVersion(pool)
	}
	return history.Settled(earliest, id)
}

// earliestBegin returns the earliest time of the store at which a stream may have begun whose caller still
// waits for some time: callers wait for a stream no longer than the most patient ones of its pool.
func (k *streamKeeper) earliestBegin(pool messenger.PoolID, left time.Duration) int64 {
	age := assigner.Lifetime
	if longest := k.longestWait(pool); left > 0 && left <= longest {
		age = longest - left + ageMargin
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.storeTime(k.clock.Now()) - age.Milliseconds()
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

// hasNewestPlans reports whether no newer plans can be in force for long, by what the other routers or the
// store said last.
func (k *streamKeeper) hasNewestPlans() bool {
	epochs := k.Epochs()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if k.store == nil {
		return true
	}
	if epochs == 0 || k.fleet.epochs > epochs {
		return false
	}
	return now.Sub(k.readAt) < planNewsTTL || now.Sub(k.fleet.newsAt) < planNewsTTL
}

// readForCaller reads the rows unless that was done a moment ago, and reports whether they are known.
func (k *streamKeeper) readForCaller(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	k.mu.Lock()
	maxAge := rowsTTL + rowsTTLPerRouter*time.Duration(len(k.fleet.names))
	k.mu.Unlock()
	if err := k.read(ctx, allRows, maxAge); err != nil {
		k.entry("failed").WithError(err).Info("rows about streams not read for a caller")
		return false
	}
	return true
}

// view returns what is known of the fleet's routers.
func (k *streamKeeper) view(pool messenger.PoolID, left time.Duration) assigner.View {
	earliest := k.earliestBegin(pool, left)
	k.mu.Lock()
	defer k.mu.Unlock()
	return assigner.View{
		EarliestMs: earliest, Rows: append([]assigner.RouterRow(nil), k.stored.routers...),
		HasRows: !k.rowsReadAt.IsZero(), Routers: k.fleet.names,
	}
}

// logFound logs what is known of a stream that is resumed, and reports whether its version is.
func (k *streamKeeper) logFound(pool messenger.PoolID, origin, version, source string) bool {
	known := source != ""
	result := "unknown"
	if known {
		result = source
	}
	k.meter.Counter(`lentilwood_streams_resumed_total{found="` + result + `"}`).Inc()
	k.mu.Lock()
	readAge := k.clock.Now().Sub(k.readAt)
	epochs, seen := k.History(pool).Epoch(), k.fleet.epochs
	k.mu.Unlock()
	k.entry("resume").WithFields(logrus.Fields{
		"request": origin, "pool": pool, "known": known, "softwareVersion": version, "found": result,
		"epoch": epochs, "epochsSeen": seen, "readAgeMs": readAge.Milliseconds(),
	}).Info("stream is resumed")
	return known
}
