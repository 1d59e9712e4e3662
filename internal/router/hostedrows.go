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
	// maxStoreFollowers is how many routers of a large fleet continuously follow the store.
	// Each of them makes several calls per second while there are many changes. In a fleet of
	// at most allFollowLimit routers, all of them follow the store.
	maxStoreFollowers = 6
	allFollowLimit    = 10
	// followerRowDelay is how long a router that follows the store itself may be behind before
	// it is sent rows; usually it has read them by then. Each further router that could send
	// them waits rowDelayStep longer, up to maxRowDelaySteps steps.
	followerRowDelay = 300 * time.Millisecond
	rowDelayStep     = 400 * time.Millisecond
	maxRowDelaySteps = 3
	// minRowResend is the minimum time that a router has to confirm the rows it was sent
	// before they are sent again, messagesBeforeResend how many of its messages may pass.
	minRowResend         = time.Second
	messagesBeforeResend = 2
	// pullDelay is how long a router that receives no rows may be behind before it reads the
	// store itself, and the time between two such reads.
	pullDelay = time.Second
)

// pull triggers an early read of the changes of a table.
type pull struct {
	wake chan struct{}
	// version is the newest version of the table that this router has.
	version atomic.Uint64
	// behindSince is when another router was first known to have newer rows.
	behindSince time.Time
}

func newPulls() map[follower.Table]*pull {
	pulls := make(map[follower.Table]*pull, len(follower.Tables))
	for _, table := range follower.Tables {
		pulls[table] = &pull{wake: make(chan struct{}, 1)}
	}
	return pulls
}

// assignStoreFollowers selects the routers that continuously follow the store from those that
// can reach the store. It also determines whether this router relies on them: only if there are
// enough store followers, or if its collector confirms that there are any.
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

// collectorLostStore reports whether the collector that this router reports to knows no router
// that follows the store.
func (h *Hosted) collectorLostStore() bool {
	p, ok := h.peers[h.reporter.Current().Name]
	return ok && p.storeLost
}

// pullAllTables triggers an early read of all tables.
func (h *Hosted) pullAllTables() {
	for _, pull := range h.pulls {
		pull.trigger()
	}
}

// sendRows sends missing rows to other routers: at once to those that report to this one, and
// to other collectors after they have been behind for some time.
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
			_ = h.exchanger.Send(p.member.Address, hostedEnvelope{From: h.selfMember(), Kind: kindIntroduction, Rows: rows}) // best effort: sent again if the rows are still missing
		}
	}
}

// missingRows returns the rows that a router is missing, or nil if this router should not send
// them now.
func (h *Hosted) missingRows(now time.Time, p *hostedPeer) []follower.Batch {
	if !h.isBehind(p) {
		p.behindSince = time.Time{}
		p.rowSender.Reset()
		return nil
	}
	if p.behindSince.IsZero() {
		p.behindSince = now
	}
	if now.Sub(p.behindSince) < h.rowDelay(p) {
		return nil
	}
	return p.rowSender.MissingBatches(h.follower, now, p.versions, max(minRowResend, messagesBeforeResend*h.currentGossipInterval()))
}

// rowDelay returns how long a router must be behind before this one sends it rows. Routers
// that report to this one get rows at once. For other routers, the store followers take turns
// so that not all of them send the same rows, and a store follower gets extra time to read the
// rows itself.
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

// pullOverdueTables triggers an early read of tables in which other routers have had newer
// rows for some time: the routers that should have sent them may be unable to reach this one.
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

// newestPeerVersion returns the newest version of a table among the routers that pass rows on.
// Routers that report to this one are left out, because they send no rows to other routers and
// after a restart may have a version that no row has.
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
	default: // already triggered
	}
}

// mergePeerRows merges rows received from another router.
func (h *Hosted) mergePeerRows(p *hostedPeer, batches []follower.Batch) {
	for _, b := range batches {
		if h.pulls[b.Table] == nil {
			continue // a table unknown to this release
		}
		if b.Table == follower.ConfigurationTable && !b.HasEvacuations {
			b = b.WithoutVersion()
		}
		known := h.follower.Version(b.Table)
		h.merge(b, p.member.Name)
		h.log.WithFields(logrus.Fields{
			eventField: "rowsFromPeer", "peer": p.member.Name, "table": b.Table, "rows": len(b.Rows), "unchanged": len(b.UnchangedKeys), "whole": b.Full,
			"since": b.Since, "upTo": b.Version, "known": known, "version": h.follower.Version(b.Table),
		}).Info("rows received from another router")
	}
}
