package router

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/messenger"
)

// The functions in this file process changes of the configuration and the upstreams that come
// from the platform's store or from other routers.

// Sources of a configuration change, other than the name of a router.
const (
	sourceStore    = "store"
	sourceUpstream = "upstream"
	// sourceExpiry is the end of the grace period of a dropped registration.
	sourceExpiry = "expiry"
)

const (
	// feedWaitPerPeer is added to the maximum wait of a long poll for each other router. The
	// total is limited by maxFeedWait because in a large fleet only a few routers follow the
	// store, and no other router sends them the changes that they missed.
	feedWaitPerPeer = 150 * time.Millisecond
	maxFeedWait     = 1900 * time.Millisecond
	// delegatedFeedWait is the maximum wait of a delegating router. Such a router relies on
	// other routers to follow the store and only asks for changes that they did not send.
	delegatedFeedWait = 10 * time.Second
	// feedRetryPerPeer is added to the maximum back-off after a failed call for each other
	// router, up to maxFeedRetry.
	feedRetryPerPeer = 10 * time.Millisecond
	maxFeedRetry     = time.Second
	// feedBatchDelay is how long a store follower lets changes accumulate before its next
	// call. delegatedFeedInterval is the time between two calls of a delegating router.
	feedBatchDelay        = 300 * time.Millisecond
	delegatedFeedInterval = time.Minute
	// initialRowsWait is how long a router waits for rows read by other routers while the
	// whole fleet starts.
	initialRowsWait = 4 * time.Second
)

// startFeed starts following a table of the platform's store.
func (h *Hosted) startFeed(table follower.Table) {
	pull := h.pulls[table]
	feed := &follower.Feed{
		Source: h.cfg.Source, Table: table, Clock: h.clock, Log: h.log,
		PollWait: h.feedWait, CoalesceDelay: func() time.Duration { return feedBatchDelay },
		StandbyTime: func() time.Duration { return h.feedInterval(pull) },
		PeerVersion: pull.version.Load, MaxRetryDelay: h.feedRetry, Wake: pull.wake,
		OnBatch:       func(b follower.Batch) { h.control.call(func() { h.merge(b, sourceStore) }) },
		OnStoreChange: h.countUnreachableTable,
	}
	h.goroutines.Go(func() { feed.Run(h.backgroundCtx) })
}

// countUnreachableTable updates the number of tables that can't be followed.
func (h *Hosted) countUnreachableTable(unreachable bool) {
	if unreachable {
		h.unreachableTables.Add(1)
		return
	}
	h.unreachableTables.Add(-1)
}

// merge merges rows from the store or another router; source names the origin. It runs on the
// control goroutine.
func (h *Hosted) merge(b follower.Batch, source string) {
	began := h.clock.Now()
	changed := h.follower.Merge(began, b)
	h.mergeTime = h.clock.Now().Sub(began)
	h.pulls[b.Table].version.Store(h.follower.Version(b.Table))
	h.logRejectedRows()
	if b.Restored {
		h.streams.forgetStored()
	}
	if changed {
		h.publishSnapshot(source)
	}
}

// logRejectedRows logs the rows that could not be parsed.
func (h *Hosted) logRejectedRows() {
	for _, r := range h.follower.TakeRejected() {
		h.meter.Counter(fmt.Sprintf("lentilwood_rows_rejected_total{table=%q}", r.Table)).Inc()
		h.log.WithFields(logrus.Fields{eventField: "rowRejected", "table": r.Table, "key": r.Key, rowVersionField: r.Version}).
			WithError(r.Err).Warn("row rejected")
	}
}

// publishSnapshot makes the follower's current state the active configuration; source names
// the origin of the change: a router or one of the constants above.
func (h *Hosted) publishSnapshot(source string) {
	s := h.follower.Snapshot()
	if s == nil {
		return
	}
	before := h.snapshot.Swap(s)
	h.control.handle(messenger.PolicyChange{Policy: s.Policy})
	h.quarantine.setUpstreams(s.Policy.Upstreams)
	h.streams.setUpstreams(s)
	h.logChange(before, s, source)
}

// logChange logs the differences between two snapshots.
func (h *Hosted) logChange(before, after *follower.Snapshot, source string) {
	if before == nil || before.Table.Version() != after.Table.Version() {
		h.log.WithFields(logrus.Fields{
			eventField: "configuration", "version": after.Table.Version(),
			rowVersionField: h.follower.Version(follower.ConfigurationTable), "from": source,
			"bytes": h.follower.ConfigurationBytes(), "ms": h.mergeTime.Milliseconds(),
		}).Info("configuration applied")
	}
	h.logEvacuations(before, after, source)
	for id, u := range after.Policy.Upstreams {
		if before != nil {
			old, ok := before.Policy.Upstreams[id]
			old.Evacuated = u.Evacuated // one line for each failure domain says this
			if ok && old == u {
				continue
			}
		}
		h.log.WithFields(logrus.Fields{
			eventField: "upstream", upstreamField: id, "pool": u.Pool, "address": u.Address, "leaving": u.Leaving, "softwareVersion": u.SoftwareVersion,
			"coldLeftMs":    max(0, u.ColdUntil.Sub(h.clock.Now())).Milliseconds(),
			rowVersionField: h.registrationVersion(id), "from": source,
		}).Info("upstream added or changed")
	}
	if before == nil {
		return
	}
	for id := range before.Policy.Upstreams {
		if _, ok := after.Policy.Upstreams[id]; !ok {
			h.log.WithFields(logrus.Fields{
				eventField: "upstream", upstreamField: id, "gone": true, rowVersionField: h.registrationVersion(id), "from": source,
			}).Info("upstream removed")
		}
	}
}

// registrationVersion returns the version of the newest known row of an upstream.
func (h *Hosted) registrationVersion(id messenger.UpstreamID) uint64 {
	return h.follower.RowVersion(follower.RegistrationTable, string(id))
}

// feedWait returns the maximum wait of a long poll for changes. It grows with the number of
// routers: together they would make too many calls, and a router whose connection hangs gets
// changes from the other routers.
func (h *Hosted) feedWait() time.Duration {
	if h.storeDelegated.Load() {
		return delegatedFeedWait
	}
	wait := follower.DefaultPollWait + feedWaitPerPeer*time.Duration(h.peerCount.Load())
	return min(wait, maxFeedWait)
}

// feedInterval returns the time between two calls to the store. Delegating routers rarely call
// it. While the whole fleet starts, routers that have no rows yet delay their calls, so that
// the collectors can read the rows for all.
func (h *Hosted) feedInterval(pull *pull) time.Duration {
	switch {
	case h.storeDelegated.Load():
		return delegatedFeedInterval
	case h.settings.FirstStart && !h.collecting.Load() && pull.version.Load() == 0 && h.clock.Now().Sub(h.startedAt) < initialRowsWait:
		return feedBatchDelay
	}
	return 0
}

// feedRetry returns the maximum back-off after a failed call to the store. The more routers
// retry, the sooner one of them finds the store available again.
func (h *Hosted) feedRetry() time.Duration {
	retry := follower.DefaultMaxRetryDelay + feedRetryPerPeer*time.Duration(h.peerCount.Load())
	return min(retry, maxFeedRetry)
}
