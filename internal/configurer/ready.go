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

// confirmByPeers marks the version as confirmed if, since this router started,
// enough other routers have reported that they know of no newer version.
//
// A change that more than half of the fleet has applied is known to at least one
// router of any half of the fleet, as long as that half has not restarted. Replies from half of the fleet, sent by
// routers whose own version is confirmed, therefore include every version that this
// router may have had in force before it restarted. Only replies count, because any
// other heartbeat may have been sent before the restart.
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

// isMajority reports whether this router and n others are a majority of the fleet.
func (c *Configurer) isMajority(n int) bool { return 2*(n+1) > c.knownRouters }

// isRecentlyConfirmed reports whether, within StaleLimit, this router or a peer that
// it received a heartbeat from has seen the version in the table.
func (c *Configurer) isRecentlyConfirmed(now time.Time) bool {
	age, ok := c.VersionAge(now)
	return ok && age <= StaleLimit
}

// removeSilentPeers removes the reports of routers that are no longer live.
func (c *Configurer) removeSilentPeers() {
	for id := range c.peers {
		if !slices.Contains(c.livePeers, id) {
			delete(c.peers, id)
		}
	}
}
