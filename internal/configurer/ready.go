package configurer

import (
	"slices"
	"time"
)

// judge decides whether the router is ready and reports a change.
func (c *Configurer) judge(now time.Time) []Action {
	c.settle()
	ready, reason := true, NotReadyReason("")
	switch {
	case c.Version() == 0:
		ready, reason = false, NoConfiguration
	case !c.settled:
		ready, reason = false, NotConfirmed
	case !c.fresh(now) && !c.majority(len(c.live)):
		ready, reason = false, CutOff
	}
	if c.told && ready == c.ready && reason == c.reason {
		return nil
	}
	c.told, c.ready, c.reason = true, ready, reason
	return []Action{ReadyChange{Ready: ready, Reason: reason}}
}

// settle notes that enough routers have said, since this one started, that
// they know of nothing newer.
//
// A change that more than half of the fleet holds is held by at least one of
// any half of the fleet that has not lost its memory. So the answers of half
// of the fleet, from routers that are settled themselves, leave out none that
// this router may have run before it restarted. Only answers count: another
// heartbeat may have been under way since before the restart.
func (c *Configurer) settle() {
	if c.settled || c.Version() == 0 {
		return
	}
	voters, known := 0, c.known
	for _, p := range c.peers {
		known = max(known, p.known)
		if p.version > c.Version() {
			return
		}
		if p.votes {
			voters++
		}
	}
	c.settled = voters > 0 && 2*voters >= known
}

// majority reports whether n other routers and this one are most of the fleet.
func (c *Configurer) majority(n int) bool { return 2*(n+1) > c.known }

// fresh reports whether the table was seen lately by a router, this one or
// one that this one has heard of.
func (c *Configurer) fresh(now time.Time) bool {
	age, ok := c.VersionAge(now)
	return ok && age <= StaleLimit
}

// forget drops what is known of routers that are no longer live.
func (c *Configurer) forget() {
	for id := range c.peers {
		if !slices.Contains(c.live, id) {
			delete(c.peers, id)
		}
	}
}
