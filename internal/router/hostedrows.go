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
	followers = 6
	allFollow = 10
	// behindBefore is how long a router that follows the store itself must lag behind
	// before it is sent rows: most have them by then. behindStep is how much longer each further
	// router waits that could send them, up to mostSteps.
	behindBefore = 300 * time.Millisecond
	behindStep   = 400 * time.Millisecond
	mostSteps    = 3
	// rowsAgain is how long a router that was sent rows has at least to say that it
	// has them, and messagesBetween how many of its messages it has for that.
	rowsAgain       = time.Second
	messagesBetween = 2
	// pullAfter is how long a router that is sent nothing lags behind before it asks
	// the store itself, and how long before it asks again.
	pullAfter = time.Second
)

// pull asks for the changes of a table before it is time.
type pull struct {
	wake chan struct{}
	// known is the newest version of the table that this router has.
	known atomic.Uint64
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
func (h *Hosted) assignFollowers() {
	var candidates []gossiper.Member
	if h.lostTables.Load() == 0 && h.collecting.Load() {
		candidates = append(candidates, h.member().id())
	}
	for _, p := range h.peers {
		if p.live && p.collects && !p.leaving && !p.storeLost {
			candidates = append(candidates, p.member.id())
		}
	}
	n := followers
	if len(h.peers) < allFollow {
		n = allFollow
	}
	h.feeders = gossiper.Followers(candidates, n)
	lagging := len(h.feeders) == n && !slices.Contains(h.feeders, h.member().id())
	if !h.collecting.Load() && len(h.peers) > 0 {
		lagging = h.reporter.HasRecentDigest(h.clock.Now()) && !h.collectorLostStore()
	}
	if h.lagging.Swap(lagging) && !lagging {
		h.askStore()
	}
}

// collectorLostStore reports whether the router that this one reports to knows nobody
// that follows the store.
func (h *Hosted) collectorLostStore() bool {
	p, ok := h.peers[h.reporter.Current().Name]
	return ok && p.storeLost
}

// askStore ends the rest of those that follow the tables.
func (h *Hosted) askStore() {
	for _, pull := range h.pulls {
		pull.ask()
	}
}

// tellRows sends rows to the routers that lack some: at once to those that report
// here, and to the others that collect if they lack them for a while now.
func (h *Hosted) tellRows() {
	if !h.collecting.Load() {
		return
	}
	now := h.clock.Now()
	for _, p := range h.peers {
		if h.lagging.Load() && !p.reports {
			continue
		}
		if rows := h.lacking(now, p); len(rows) > 0 {
			_ = h.exchanger.Send(p.member.Address, hostedEnvelope{From: h.member(), Kind: introduced, Rows: rows}) // sent again if it still lacks them
		}
	}
}

// lacking returns the rows that a router lacks, if it is for this one to send them now.
func (h *Hosted) lacking(now time.Time, p *hostedPeer) []follower.Batch {
	if !h.isBehind(p) {
		p.behindSince = time.Time{}
		p.teller.Forget()
		return nil
	}
	if p.behindSince.IsZero() {
		p.behindSince = now
	}
	if now.Sub(p.behindSince) < h.rowsAfter(p) {
		return nil
	}
	return p.teller.Lacking(h.follower, now, p.versions, max(rowsAgain, messagesBetween*h.shareEvery()))
}

// rowsAfter returns how long a router must lag behind before this one sends it rows.
// One that reports here gets them at once; of the routers that follow the store one
// after the other tries; and one that follows the store itself has them by then for
// the most part.
func (h *Hosted) rowsAfter(p *hostedPeer) time.Duration {
	if p.reports {
		return 0
	}
	steps := min(mostSteps, gossiper.Rank(h.feeders, h.member().id(), p.member.id()))
	after := behindStep * time.Duration(steps)
	if slices.Contains(h.feeders, p.member.id()) {
		after += behindBefore
	}
	return after
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
func (h *Hosted) pullRows() {
	if !h.lagging.Load() {
		return
	}
	now := h.clock.Now()
	for table, pull := range h.pulls {
		switch {
		case h.newest(table) <= h.follower.Version(table):
			pull.behindSince = time.Time{}
		case pull.behindSince.IsZero():
			pull.behindSince = now
		case now.Sub(pull.behindSince) >= pullAfter:
			pull.behindSince = now
			pull.ask()
		}
	}
}

// newest returns the newest version of a table that another router has and may tell of. One
// that reports here tells nobody: started again, it knows a version of its own.
func (h *Hosted) newest(table follower.Table) uint64 {
	var newest uint64
	for _, p := range h.peers {
		if p.live && !p.reports {
			newest = max(newest, p.versions[table])
		}
	}
	return newest
}

func (p *pull) ask() {
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
