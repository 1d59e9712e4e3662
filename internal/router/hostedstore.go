package router

import (
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/messenger"
)

// What follows takes in what the platform's store and other routers say of the
// configuration and the upstreams.

// Who else than a router may tell of a change of what requests are served by.
const (
	sourceStore    = "store"
	sourceUpstream = "upstream"
	// fromExpiry is the end of the time in which a dropped registration is believed.
	sourceExpiry = "expiry"
)

const (
	// feedWaitPerPeer is how much longer a call for changes may wait for each
	// other router, up to longestFeedWait: of a large fleet only a few routers follow
	// the store, and nobody tells them what they miss.
	feedWaitPerPeer = 150 * time.Millisecond
	maxFeedWait     = 1900 * time.Millisecond
	// laggingWait is the wait of a router that leaves the store to others and only asks for
	// what they did not tell it.
	delegatedFeedWait = 10 * time.Second
	// feedRetryPerPeer is how much longer the pause after a failed call may be for each
	// other router, up to longestFeedRetry.
	feedRetryPerPeer = 10 * time.Millisecond
	maxFeedRetry     = time.Second
	// gatherTime is how long a router that follows the store closely gathers changes
	// before it asks again, and restTime how long the others leave the store alone.
	feedBatchDelay    = 300 * time.Millisecond
	delegatedFeedRest = time.Minute
	// firstRows is how long a router waits for the rows that others read while the
	// whole fleet starts.
	initialRowsWait = 4 * time.Second
)

// follow begins to follow a table of the platform's store.
func (h *Hosted) startFeed(table follower.Table) {
	pull := h.pulls[table]
	feed := &follower.Feed{
		Source: h.cfg.Source, Table: table, Clock: h.clock, Log: h.log,
		Wait: h.feedWait, Pause: func() time.Duration { return feedBatchDelay },
		Rest:  func() time.Duration { return h.feedRest(pull) },
		Known: pull.version.Load, Retry: h.feedRetry, Wake: pull.wake,
		Batches: func(b follower.Batch) { h.control.call(func() { h.merge(b, sourceStore) }) },
		Noted:   h.countUnreachableTable,
	}
	h.goroutines.Go(func() { feed.Run(h.backgroundCtx) })
}

// noteStore counts the tables that cannot be followed.
func (h *Hosted) countUnreachableTable(lost bool) {
	if lost {
		h.unreachableTables.Add(1)
		return
	}
	h.unreachableTables.Add(-1)
}

// merge takes in rows of the store or of another router; from says of which. It runs on
// the control goroutine.
func (h *Hosted) merge(b follower.Batch, source string) {
	changed := h.follower.Merge(h.clock.Now(), b)
	h.pulls[b.Table].version.Store(h.follower.Version(b.Table))
	if changed {
		h.publishSnapshot(source)
	}
}

// publish puts what the follower knows in force; from says who told of the change: a
// router, or one of the constants.
func (h *Hosted) publishSnapshot(source string) {
	for _, r := range h.follower.TakeRejected() {
		h.log.WithFields(logrus.Fields{eventField: "rowRejected", "table": r.Table, "key": r.Key, "rowVersion": r.Version}).
			WithError(r.Err).Warn("row left out")
	}
	s := h.follower.Snapshot()
	if s == nil {
		return
	}
	before := h.snapshot.Swap(s)
	h.control.handle(messenger.PolicyChange{Policy: s.Policy})
	h.logChange(before, s, source)
}

// logChange says what a new snapshot changes.
func (h *Hosted) logChange(before, after *follower.Snapshot, source string) {
	if before == nil || before.Table.Version() != after.Table.Version() {
		h.log.WithFields(logrus.Fields{
			eventField: "configuration", "version": after.Table.Version(),
			"rowVersion": h.follower.Version(follower.ConfigurationTable), "from": source,
		}).Info("configuration in force")
	}
	for id, u := range after.Policy.Upstreams {
		if before != nil {
			if old, ok := before.Policy.Upstreams[id]; ok && old == u {
				continue
			}
		}
		h.log.WithFields(logrus.Fields{
			eventField: "upstream", upstreamField: id, "pool": u.Pool, "address": u.Address, "leaving": u.Leaving,
			"rowVersion": h.registrationVersion(id), "from": source,
		}).Info("upstream known")
	}
	if before == nil {
		return
	}
	for id := range before.Policy.Upstreams {
		if _, ok := after.Policy.Upstreams[id]; !ok {
			h.log.WithFields(logrus.Fields{
				eventField: "upstream", upstreamField: id, "gone": true, "rowVersion": h.registrationVersion(id), "from": source,
			}).Info("upstream gone")
		}
	}
}

// registrationVersion returns the version of the newest row known of an upstream.
func (h *Hosted) registrationVersion(id messenger.UpstreamID) uint64 {
	return h.follower.RowVersion(follower.RegistrationTable, string(id))
}

// feedWait returns how long a call for changes may wait. The more routers follow the
// store, the more of them tell one whose connection fell silent, and the more calls all of
// them make.
func (h *Hosted) feedWait() time.Duration {
	if h.storeDelegated.Load() {
		return delegatedFeedWait
	}
	wait := follower.DefaultWait + feedWaitPerPeer*time.Duration(h.peerCount.Load())
	return min(wait, maxFeedWait)
}

// feedRest returns how long this router leaves the store to others before it asks
// again. In a large fleet a few routers follow the store closely and tell the others,
// and while the whole fleet starts they have some time to read it for all.
func (h *Hosted) feedRest(pull *pull) time.Duration {
	switch {
	case h.storeDelegated.Load():
		return delegatedFeedRest
	case h.settings.FirstStart && !h.collecting.Load() && pull.version.Load() == 0 && h.clock.Now().Sub(h.startedAt) < initialRowsWait:
		return feedBatchDelay
	}
	return 0
}

// feedRetry returns the longest pause after a failed call to the store. The more
// routers there are that try, the sooner one of them meets the store's return.
func (h *Hosted) feedRetry() time.Duration {
	retry := follower.DefaultRetry + feedRetryPerPeer*time.Duration(h.peerCount.Load())
	return min(retry, maxFeedRetry)
}
