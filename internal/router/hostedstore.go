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
	fromStore    = "store"
	fromUpstream = "upstream"
	// fromExpiry is the end of the time in which a dropped registration is believed.
	fromExpiry = "expiry"
)

const (
	// feedWaitPerPeer is how much longer a call for changes may wait for each
	// other router, up to longestFeedWait: of a large fleet only a few routers follow
	// the store, and nobody tells them what they miss.
	feedWaitPerPeer = 150 * time.Millisecond
	longestFeedWait = 1900 * time.Millisecond
	// laggingWait is the wait of a router that leaves the store to others and only asks for
	// what they did not tell it.
	laggingWait = 10 * time.Second
	// feedRetryPerPeer is how much longer the pause after a failed call may be for each
	// other router, up to longestFeedRetry.
	feedRetryPerPeer = 10 * time.Millisecond
	longestFeedRetry = time.Second
	// gatherTime is how long a router that follows the store closely gathers changes
	// before it asks again, and restTime how long the others leave the store alone.
	gatherTime = 300 * time.Millisecond
	restTime   = time.Minute
	// firstRows is how long a router waits for the rows that others read while the
	// whole fleet starts.
	firstRows = 4 * time.Second
)

// follow begins to follow a table of the platform's store.
func (h *Hosted) follow(table follower.Table) {
	pull := h.pulls[table]
	feed := &follower.Feed{
		Source: h.cfg.Source, Table: table, Clock: h.clock, Log: h.log,
		Wait: h.feedWait, Pause: func() time.Duration { return gatherTime },
		Rest:  func() time.Duration { return h.feedRest(pull) },
		Known: pull.known.Load, Retry: h.feedRetry, Wake: pull.wake,
		Batches: func(b follower.Batch) { h.control.call(func() { h.merge(b, fromStore) }) },
		Noted:   h.noteStore,
	}
	h.goroutines.Go(func() { feed.Run(h.background) })
}

// noteStore counts the tables that cannot be followed.
func (h *Hosted) noteStore(lost bool) {
	if lost {
		h.lostTables.Add(1)
		return
	}
	h.lostTables.Add(-1)
}

// merge takes in rows of the store or of another router; from says of which. It runs on
// the control goroutine.
func (h *Hosted) merge(b follower.Batch, from string) {
	changed := h.follower.Merge(h.clock.Now(), b)
	h.pulls[b.Table].known.Store(h.follower.Version(b.Table))
	if changed {
		h.publish(from)
	}
}

// publish puts what the follower knows in force; from says who told of the change: a
// router, or one of the constants.
func (h *Hosted) publish(from string) {
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
	h.logChange(before, s, from)
}

// logChange says what a new snapshot changes.
func (h *Hosted) logChange(before, after *follower.Snapshot, from string) {
	if before == nil || before.Table.Version() != after.Table.Version() {
		h.log.WithFields(logrus.Fields{
			eventField: "configuration", "version": after.Table.Version(),
			"rowVersion": h.follower.Version(follower.ConfigurationTable), "from": from,
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
			"rowVersion": h.registrationVersion(id), "from": from,
		}).Info("upstream known")
	}
	if before == nil {
		return
	}
	for id := range before.Policy.Upstreams {
		if _, ok := after.Policy.Upstreams[id]; !ok {
			h.log.WithFields(logrus.Fields{
				eventField: "upstream", upstreamField: id, "gone": true, "rowVersion": h.registrationVersion(id), "from": from,
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
	if h.lagging.Load() {
		return laggingWait
	}
	wait := follower.DefaultWait + feedWaitPerPeer*time.Duration(h.peerCount.Load())
	return min(wait, longestFeedWait)
}

// feedRest returns how long this router leaves the store to others before it asks
// again. In a large fleet a few routers follow the store closely and tell the others,
// and while the whole fleet starts they have some time to read it for all.
func (h *Hosted) feedRest(pull *pull) time.Duration {
	switch {
	case h.lagging.Load():
		return restTime
	case h.settings.FirstStart && !h.collecting.Load() && pull.known.Load() == 0 && h.clock.Now().Sub(h.startedAt) < firstRows:
		return gatherTime
	}
	return 0
}

// feedRetry returns the longest pause after a failed call to the store. The more
// routers there are that try, the sooner one of them meets the store's return.
func (h *Hosted) feedRetry() time.Duration {
	retry := follower.DefaultRetry + feedRetryPerPeer*time.Duration(h.peerCount.Load())
	return min(retry, longestFeedRetry)
}
