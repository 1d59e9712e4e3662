package router

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/messenger"
)

// The functions in this file find the other routers of the fleet.

const (
	// announceSpread is the time over which the routers of a starting fleet write their
	// directory entries. memberReadDelay is how long after its start each router reads the
	// directory, when all entries have been written.
	announceSpread  = 1500 * time.Millisecond
	memberReadDelay = 2200 * time.Millisecond
	// memberRereadDelay is how long after joining a collector reads the directory a second
	// time.
	memberRereadDelay = 1500 * time.Millisecond
	// directoryWait is how long a router of a starting fleet waits for the directory before it
	// sends messages to the routers it already knows.
	directoryWait = 3 * time.Second
	// weightPerCore is the weight of a router with one CPU core.
	weightPerCore = 1000
	// joinRetryDelay is the time between two attempts to join the fleet.
	joinRetryDelay = 500 * time.Millisecond
	// directoryTimeout bounds a call to the directory, withdrawTimeout the one that removes
	// the entry at shutdown.
	directoryTimeout = 2 * time.Second
	withdrawTimeout  = 300 * time.Millisecond
)

// join announces this router and reads the directory, and retries until both succeed. While
// the whole fleet starts, the routers write their entries at different times.
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

// tryJoin writes this router's directory entry and then reads all entries; while the whole
// fleet starts it first waits until the other routers have written theirs. It reports whether
// it succeeded.
func (h *Hosted) tryJoin() bool {
	ctx, cancel := context.WithTimeout(h.backgroundCtx, directoryTimeout)
	defer cancel()
	if err := h.cfg.Directory.Announce(ctx, h.selfMember()); err != nil {
		h.log.WithField(eventField, "join").WithError(err).Info("directory entry not written; retrying")
		return false
	}
	if h.settings.FirstStart {
		h.sleep(memberReadDelay - h.clock.Now().Sub(h.startedAt))
	}
	return h.readMembers()
}

// joinAdmitter passes the members of the fleet to the admitter.
func (h *Hosted) joinAdmitter() {
	var ids []messenger.RouterID
	for name := range h.peers {
		ids = append(ids, messenger.RouterID(name))
	}
	h.admitter.Join(h.clock.Now(), ids, len(ids) == 0 && len(h.settings.SeedPeers) == 0)
}

// sleep waits for the duration d or until the router stops.
func (h *Hosted) sleep(d time.Duration) {
	select {
	case <-h.backgroundCtx.Done():
	case <-h.clock.After(d):
	}
}

// readMembers reads the list of routers from the directory. It reports whether it succeeded.
func (h *Hosted) readMembers() bool {
	ctx, cancel := context.WithTimeout(h.backgroundCtx, directoryTimeout)
	defer cancel()
	members, err := h.cfg.Directory.Members(ctx)
	if err != nil {
		h.log.WithField(eventField, "join").WithError(err).Info("router directory not read, or not completely")
	}
	if members == nil {
		return false
	}
	h.control.call(func() {
		for _, m := range members {
			h.upsertPeer(m)
		}
		h.joined = true
		h.updateFleetView()
		h.joinAdmitter()
		h.setFleetSize(1 + max(len(h.peers), int(h.peerCount.Load())))
	})
	return true
}

// selfMember returns this router's directory entry.
func (h *Hosted) selfMember() Member {
	return Member{
		Name: string(h.self), Address: h.exchanger.Addr(),
		Domain: h.settings.FailureDomain, Incarnation: h.incarnation,
		Weight: int(h.settings.Processor * weightPerCore), AssignsVersions: true,
	}
}

// upsertPeer adds a router or updates its entry. This and the functions below run on the
// control goroutine.
func (h *Hosted) upsertPeer(m Member) *hostedPeer {
	if m.Name == string(h.self) || m.Name == "" {
		return nil
	}
	p, ok := h.peers[m.Name]
	if !ok {
		p = &hostedPeer{member: m, addedAt: h.clock.Now(), versions: make(map[follower.Table]uint64)}
		h.peers[m.Name] = p
		h.candidatesChanged = true
		h.setFleetSize(len(h.peers) + 1)
	}
	if m.Incarnation > p.member.Incarnation {
		h.setLeaving(p, false) // the process was restarted and has no rows
		p.rowSender.Reset()
		clear(p.versions)
	}
	if m.Incarnation >= p.member.Incarnation || m.Address != p.member.Address {
		h.candidatesChanged = h.candidatesChanged || m.gossipMember() != p.member.gossipMember()
		p.member = m
	}
	return p
}

// setFleetSize records the number of routers, at least as many as are known by name.
func (h *Hosted) setFleetSize(n int) {
	n = max(n, len(h.peers)+1)
	if n > 1 || h.joined {
		h.budget.SetRouters(n)
	}
	h.quarantine.setRouters(n, h.self)
	if h.evidence != nil {
		h.evidence.setRouters(n)
	}
	h.peerCount.Store(int64(n - 1))
}

// greetSeedPeers sends a greeting to the routers listed in the settings, in case the directory
// is unreachable.
func (h *Hosted) greetSeedPeers() {
	for _, address := range h.settings.SeedPeers {
		if address != h.exchanger.Addr() {
			e := hostedEnvelope{From: h.selfMember(), Kind: kindGreeting, EvidenceChecksum: h.quarantine.checksum()}
			_ = h.exchanger.Send(address, e) // best effort: repeated at the next interval
		}
	}
}

// sendIntroduction sends the list of collectors to a router that knows no other one.
func (h *Hosted) sendIntroduction(p *hostedPeer) {
	e := hostedEnvelope{From: h.selfMember(), Kind: kindIntroduction, Collectors: h.knownCollectors()}
	h.attachEvidence(&e, p)
	h.attachPlans(&e, p)
	_ = h.exchanger.Send(p.member.Address, e) // best effort: the router sends another greeting if it still knows no other
}
