package router

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/gossiper"
)

const (
	// followers is how many routers of a large fleet follow the store closely: each
	// makes several calls a second while much changes. Up to allFollow routers all do.
	maxStoreFollowers = 6
	allFollowLimit    = 10
	// behindBefore is how long a router that follows the store itself must lag behind
	// before it is sent rows: most have them by then. behindStep is how much longer each further
	// router waits that could send them, up to mostSteps.
	followerRowDelay = 300 * time.Millisecond
	rowDelayStep     = 400 * time.Millisecond
	maxRowDelaySteps = 3
	// rowsAgain is how long a router that was sent rows has at least to say that it
	// has them, and messagesBetween how many of its messages it has for that.
	minRowResend         = time.Second
	messagesBeforeResend = 2
	// pullAfter is how long a router that is sent nothing lags behind before it asks
	// the store itself, and how long before it asks again.
	pullDelay = time.Second
)

// pull asks for the changes of a table before it is time.
type pull struct {
	wake chan struct{}
	// known is the newest version of the table that this router has.
	version atomic.Uint64
	// behindSince is when another router was first heard to have newer rows.
	behindSince time.Time
}

func newPulls() map[follower.Table]*pull {
	pulls := make(map[follower.Table]*pull, len(follower.Tables))
	for _, table := range follower.Tables {
		pulls[table] = &pull{wake: make(chan struct{}, 1)}
	}
	return pulls
}

// assignFollowers works out which of the routers that reach the store follow it
// closely, and whether this one leaves it to them: only if there are enough, or if
// another router collects for it and tells it so.
func (h *Hosted) assignStoreFollowers() {
	var candidates []gossiper.Member
	if h.unreachableTables.Load() == 0 && h.collecting.Load() {
		candidates = append(candidates, h.selfMember().gossipMember())
	}
	for _, p := range h.peers {
		if p.live && p.collects && !p.leaving && !p.storeLost {
			candidates = append(candidates, p.member.gossipMember())
		}
	}
	n := maxStoreFollowers
	if len(h.peers) < allFollowLimit {
		n = allFollowLimit
	}
	h.storeFollowers = gossiper.Followers(candidates, n)
	delegated := len(h.storeFollowers) == n && !slices.Contains(h.storeFollowers, h.selfMember().gossipMember())
	if !h.collecting.Load() && len(h.peers) > 0 {
		delegated = h.reporter.HasRecentDigest(h.clock.Now()) && !h.collectorLostStore()
	}
	if h.storeDelegated.Swap(delegated) && !delegated {
		h.pullAllTables()
	}
}

// collectorLostStore reports whether the router that this one reports to knows nobody
// that follows the store.
func (h *Hosted) collectorLostStore() bool {
	p, ok := h.peers[h.reporter.Current().Name]
	return ok && p.storeLost
}

// askStore ends the rest of those that follow the tables.
func (h *Hosted) pullAllTables() {
	for _, pull := range h.pulls {
		pull.trigger()
	}
}

// tellRows sends rows to the routers that lack some: at once to those that report
// here, and to the others that collect if they lack them for a while now.
func (h *Hosted) sendRows() {
	if !h.collecting.Load() {
		return
	}
	now := h.clock.Now()
	for _, p := range h.peers {
		if h.storeDelegated.Load() && !p.reports {
			continue
		}
		if rows := h.missingRows(now, p); len(rows) > 0 {
			_ = h.exchanger.Send(p.member.Address, hostedEnvelope{From: h.selfMember(), Kind: kindIntroduction, Rows: rows}) // sent again if it still lacks them
		}
	}
}

// lacking returns the rows that a router lacks, if it is for this one to send them now.
func (h *Hosted) missingRows(now time.Time, p *hostedPeer) []follower.Batch {
	if !h.isBehind(p) {
		p.behindSince = time.Time{}
		p.rowSender.Forget()
		return nil
	}
	if p.behindSince.IsZero() {
		p.behindSince = now
	}
	if now.Sub(p.behindSince) < h.rowDelay(p) {
		return nil
	}
	return p.rowSender.Lacking(h.follower, now, p.versions, max(minRowResend, messagesBeforeResend*h.currentGossipInterval()))
}

// rowsAfter returns how long a router must lag behind before this one sends it rows.
// One that reports here gets them at once; of the routers that follow the store one
// after the other tries; and one that follows the store itself has them by then for
// the most part.
func (h *Hosted) rowDelay(p *hostedPeer) time.Duration {
	if p.reports {
		return 0
	}
	steps := min(maxRowDelaySteps, gossiper.Rank(h.storeFollowers, h.selfMember().gossipMember(), p.member.gossipMember()))
	delay := rowDelayStep * time.Duration(steps)
	if slices.Contains(h.storeFollowers, p.member.gossipMember()) {
		delay += followerRowDelay
	}
	return delay
}

func (h *Hosted) isBehind(p *hostedPeer) bool {
	if !p.live {
		return false
	}
	for _, table := range follower.Tables {
		if p.versions[table] < h.follower.Version(table) {
			return true
		}
	}
	return false
}

// pullRows asks the store for the tables of which others have newer rows for a while
// now: those that should have sent them may not reach this router.
func (h *Hosted) pullOverdueTables() {
	if !h.storeDelegated.Load() {
		return
	}
	now := h.clock.Now()
	for table, pull := range h.pulls {
		switch {
		case h.newestPeerVersion(table) <= h.follower.Version(table):
			pull.behindSince = time.Time{}
		case pull.behindSince.IsZero():
			pull.behindSince = now
		case now.Sub(pull.behindSince) >= pullDelay:
			pull.behindSince = now
			pull.trigger()
		}
	}
}

// newest returns the newest version of a table that another router has and may tell of. One
// that reports here tells nobody: started again, it knows a version of its own.
func (h *Hosted) newestPeerVersion(table follower.Table) uint64 {
	var newest uint64
	for _, p := range h.peers {
		if p.live && !p.reports {
			newest = max(newest, p.versions[table])
		}
	}
	return newest
}

func (p *pull) trigger() {
	select {
	case p.wake <- struct{}{}:
	default: // asked already
	}
}

// mergePeerRows takes in rows that this router lacks.
func (h *Hosted) mergePeerRows(p *hostedPeer, batches []follower.Batch) {
	for _, b := range batches {
		if h.pulls[b.Table] == nil {
			continue // a table that this router does not know
		}
		known := h.follower.Version(b.Table)
		h.merge(b, p.member.Name)
		h.log.WithFields(logrus.Fields{
			eventField: "rowsFromPeer", "peer": p.member.Name, "table": b.Table, "rows": len(b.Rows), "whole": b.Whole,
			"since": b.Since, "upTo": b.Version, "known": known, "version": h.follower.Version(b.Table),
		}).Info("rows taken from a router")
	}
}
