package router

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/follower"
)

// What follows finds the other routers.

const (
	// startSpread is the time over which a fleet that starts writes its entries, and
	// rosterTime when each router has read them: all are there by then.
	announceSpread  = 1500 * time.Millisecond
	memberReadDelay = 2200 * time.Millisecond
	// rosterAgain is after what time a router that collects reads them once more.
	memberRereadDelay = 1500 * time.Millisecond
	// joinTime is how long a router of a fleet that starts waits for the directory before
	// it speaks to those that it happens to know.
	directoryWait = 3 * time.Second
	// coreWeight is the weight of a router with a whole core.
	weightPerCore = 1000
	// joinPause is the wait between two tries to join the fleet.
	joinRetryDelay = 500 * time.Millisecond
	// directoryTimeout bounds a call to the directory, withdrawTimeout the last
	// one.
	directoryTimeout = 2 * time.Second
	withdrawTimeout  = 300 * time.Millisecond
)

// join announces this router and learns of the others, until both succeed. While the
// whole fleet starts each router writes its entry at another moment.
func (h *Hosted) join() {
	if h.settings.FirstStart {
		h.sleep(time.Duration(xxhash.Sum64String(string(h.self)) % uint64(announceSpread)))
	}
	for !h.tryJoin() {
		if h.backgroundCtx.Err() != nil {
			return
		}
		h.sleep(joinRetryDelay)
	}
	h.sleep(memberRereadDelay)
	if h.collecting.Load() && h.backgroundCtx.Err() == nil {
		h.readMembers()
	}
}

// tryJoin writes this router's entry and reads those of all, while the whole fleet
// starts once they are there. It reports whether that succeeded.
func (h *Hosted) tryJoin() bool {
	ctx, cancel := context.WithTimeout(h.backgroundCtx, directoryTimeout)
	defer cancel()
	if err := h.cfg.Directory.Announce(ctx, h.selfMember()); err != nil {
		h.log.WithField(eventField, "join").WithError(err).Info("entry not written yet")
		return false
	}
	if h.settings.FirstStart {
		h.sleep(memberReadDelay - h.clock.Now().Sub(h.startedAt))
	}
	return h.readMembers()
}

// pause waits for a time, or until the router stops.
func (h *Hosted) sleep(d time.Duration) {
	select {
	case <-h.backgroundCtx.Done():
	case <-h.clock.After(d):
	}
}

// readRoster learns from the directory which routers there are. It reports whether that
// succeeded.
func (h *Hosted) readMembers() bool {
	ctx, cancel := context.WithTimeout(h.backgroundCtx, directoryTimeout)
	defer cancel()
	members, err := h.cfg.Directory.Members(ctx)
	if err != nil {
		h.log.WithField(eventField, "join").WithError(err).Info("routers not known yet, or not all")
	}
	if members == nil {
		return false
	}
	h.control.call(func() {
		for _, m := range members {
			h.upsertPeer(m)
		}
		h.joined = true
	})
	return true
}

// member returns this router's entry.
func (h *Hosted) selfMember() Member {
	return Member{
		Name: string(h.self), Address: h.exchanger.Addr(),
		Domain: h.settings.FailureDomain, Incarnation: h.incarnation,
		Weight: int(h.settings.Processor * weightPerCore),
	}
}

// meet notes a router. It runs on the control goroutine, as all that follows.
func (h *Hosted) upsertPeer(m Member) *hostedPeer {
	if m.Name == string(h.self) || m.Name == "" {
		return nil
	}
	p, ok := h.peers[m.Name]
	if !ok {
		p = &hostedPeer{member: m, versions: make(map[follower.Table]uint64)}
		h.peers[m.Name] = p
		h.candidatesChanged = true
		h.setFleetSize(len(h.peers) + 1)
	}
	if m.Incarnation > p.member.Incarnation {
		h.setLeaving(p, false) // it was started again, and has nothing
		p.rowSender.Forget()
		clear(p.versions)
	}
	if m.Incarnation >= p.member.Incarnation || m.Address != p.member.Address {
		h.candidatesChanged = h.candidatesChanged || m.gossipMember() != p.member.gossipMember()
		p.member = m
	}
	return p
}

// setFleetSize notes how many routers there are, at least as many as are known by name.
func (h *Hosted) setFleetSize(n int) {
	n = max(n, len(h.peers)+1)
	h.budget.SetRouters(n)
	h.peerCount.Store(int64(n - 1))
}

// greetSeeds greets the routers that the settings name, in case the directory
// can't be reached.
func (h *Hosted) greetSeedPeers() {
	for _, address := range h.settings.SeedPeers {
		if address != h.exchanger.Addr() {
			_ = h.exchanger.Send(address, hostedEnvelope{From: h.selfMember(), Kind: kindGreeting}) // said again with the next share
		}
	}
}

// introduce tells a router that knows nobody which routers collect.
func (h *Hosted) sendIntroduction(p *hostedPeer) {
	e := hostedEnvelope{From: h.selfMember(), Kind: kindIntroduction, Collectors: h.knownCollectors()}
	_ = h.exchanger.Send(p.member.Address, e) // it asks again if it still knows nobody
}
