package configurer

import (
	"slices"
	"time"
)

// updateReadiness decides whether the router is ready and reports a change.
func (c *Configurer) updateReadiness(now time.Time) []Action {
	c.confirmByPeers()
	ready, reason := true, NotReadyReason("")
	switch {
	case c.Version() == 0:
		ready, reason = false, NoConfiguration
	case !c.confirmed:
		ready, reason = false, NotConfirmed
	case !c.isRecentlyConfirmed(now) && !c.isMajority(len(c.livePeers)):
		ready, reason = false, CutOff
	}
	if c.readyReported && ready == c.ready && reason == c.notReadyReason {
		return nil
	}
	c.readyReported, c.ready, c.notReadyReason = true, ready, reason
	return []Action{ReadyChange{Ready: ready, Reason: reason}}
}

// confirmByPeers notes that enough routers have said, since this one started, that
// they know of nothing newer.
//
// A change that more than half of the fleet holds is held by at least one of
// any half of the fleet that has not lost its memory. So the answers of half
// of the fleet, from routers that are settled themselves, leave out none that
// this router may have run before it restarted. Only answers count: another
// heartbeat may have been under way since before the restart.
func (c *Configurer) confirmByPeers() {
	if c.confirmed || c.Version() == 0 {
		return
	}
	confirmedPeers, knownRouters := 0, c.knownRouters
	for _, p := range c.peers {
		knownRouters = max(knownRouters, p.knownRouters)
		if p.version > c.Version() {
			return
		}
		if p.repliedConfirmed {
			confirmedPeers++
		}
	}
	c.confirmed = confirmedPeers > 0 && 2*confirmedPeers >= knownRouters
}

// isMajority reports whether n other routers and this one are most of the fleet.
func (c *Configurer) isMajority(n int) bool { return 2*(n+1) > c.knownRouters }

// isRecentlyConfirmed reports whether the table was seen lately by a router, this one or
// one that this one has heard of.
func (c *Configurer) isRecentlyConfirmed(now time.Time) bool {
	age, ok := c.VersionAge(now)
	return ok && age <= StaleLimit
}

// removeSilentPeers drops what is known of routers that are no longer live.
func (c *Configurer) removeSilentPeers() {
	for id := range c.peers {
		if !slices.Contains(c.livePeers, id) {
			delete(c.peers, id)
		}
	}
}
