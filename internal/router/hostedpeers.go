package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/gossiper"
	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// peerQueue bounds the messages that wait for a router. Each says all that
	// its sender's ones before it did, but relayed ones have many senders.
	peerQueue = 64
	// peerTimeout bounds one call to a router.
	peerTimeout = 400 * time.Millisecond
	// shareInterval is the time between two messages to the other routers, and
	// sharePerPeer what each further router adds to it, so that what a router
	// receives stays bounded.
	shareInterval = 120 * time.Millisecond
	sharePerPeer  = 5 * time.Millisecond
	// leastSilence is after what time a router counts as silent, and
	// missedMessages how many of its messages may be missing in a large fleet; it is
	// then tried again every retryInterval only.
	leastSilence   = 2 * time.Second
	missedMessages = 4
	retryInterval  = time.Second
	// joinPause is the wait between two tries to join the fleet.
	joinPause = 500 * time.Millisecond
	// directoryTimeout bounds a call to the directory, withdrawTimeout the last
	// one.
	directoryTimeout = 2 * time.Second
	withdrawTimeout  = 300 * time.Millisecond
)

// Member is one router as the others find it.
type Member struct {
	_           struct{} `codec:",toarray"`
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	Domain      string   `json:"domain"`
	Incarnation uint64   `json:"incarnation"`
}

// hostedEnvelope is one message between hosted routers. Codecs write it as an
// array, so the order of the fields is part of the format between routers.
type hostedEnvelope struct {
	_    struct{} `codec:",toarray"`
	From Member
	// Sequence numbers the sender's messages: relays may deliver them out of order.
	Sequence uint64
	// Relay asks the receiver to pass the message on in its failure domain.
	Relay bool
	// Leaving is true if the sender is about to stop, Strained if it sends its
	// callers elsewhere, StoreLost if it cannot follow the platform's store.
	Leaving, Strained, StoreLost bool
	// Configuration and Registrations are the newest versions that the sender
	// has of the two tables.
	Configuration, Registrations uint64
	// Load is nil in a message that only brings rows.
	Load *messenger.PeerLoad
	// Rows are what the receiver lacks.
	Rows []follower.Row
	// Departures are the upstreams that said themselves that they leave.
	Departures []follower.Departure
}

// hostedPeer is another router.
type hostedPeer struct {
	member  Member
	heard   time.Time
	tried   time.Time
	live    bool
	leaving bool
	// strained is true while it sends its callers elsewhere, storeLost while it
	// cannot follow the platform's store.
	strained, storeLost bool
	// incarnation and sequence are those of its last message.
	incarnation, sequence uint64
	// versions are the newest that it said it has.
	versions map[follower.Table]uint64
	// behindSince is when it was first seen to have less than this router, and
	// rowsSent when it was last sent what it lacks.
	behindSince, rowsSent time.Time
}

// id returns how the decisions about the fleet know the router.
func (m Member) id() gossiper.Member { return gossiper.Member{Name: m.Name, Domain: m.Domain} }

// join announces this router and learns of the others, until both succeed.
func (h *Hosted) join() {
	for {
		if h.tryJoin() {
			return
		}
		select {
		case <-h.background.Done():
			return
		case <-h.clock.After(joinPause):
		}
	}
}

func (h *Hosted) tryJoin() bool {
	ctx, cancel := context.WithTimeout(h.background, directoryTimeout)
	defer cancel()
	self := h.member()
	if err := h.cfg.Directory.Announce(ctx, self); err != nil {
		h.log.WithField(eventField, "join").WithError(err).Info("entry not written yet")
		return false
	}
	members, err := h.cfg.Directory.Members(ctx)
	if err != nil {
		h.log.WithField(eventField, "join").WithError(err).Info("routers not known yet, or not all")
	}
	if members == nil {
		return false
	}
	h.control.call(func() {
		for _, m := range members {
			h.meet(m)
		}
	})
	return true
}

func (h *Hosted) member() Member {
	return Member{
		Name: string(h.self), Address: h.exchanger.Addr(),
		Domain: h.settings.FailureDomain, Incarnation: h.incarnation,
	}
}

// meet notes a router. It runs on the control goroutine, as all that follows.
func (h *Hosted) meet(m Member) *hostedPeer {
	if m.Name == string(h.self) || m.Name == "" {
		return nil
	}
	p, ok := h.peers[m.Name]
	if !ok {
		p = &hostedPeer{member: m, versions: make(map[follower.Table]uint64)}
		h.peers[m.Name] = p
		h.budget.SetRouters(len(h.peers) + 1)
		h.peerCount.Store(int64(len(h.peers)))
	}
	if m.Incarnation >= p.member.Incarnation || m.Address != p.member.Address {
		p.member = m
	}
	return p
}

// receive takes in a message of another router.
func (h *Hosted) receive(e hostedEnvelope) {
	if e.Relay {
		h.relay(e)
	}
	p := h.meet(e.From)
	if p == nil {
		return
	}
	p.heard = h.clock.Now()
	if !p.live {
		p.live = true
		h.log.WithFields(logrus.Fields{eventField: "peer", "peer": p.member.Name, "live": true}).Info("router heard")
	}
	if len(e.Rows) > 0 {
		h.mergePeerRows(p, e.Rows)
	}
	if e.Load != nil && p.isNext(e) {
		h.learnState(p, e)
	}
}

// isNext reports whether a message is newer than those before it.
func (p *hostedPeer) isNext(e hostedEnvelope) bool {
	if e.From.Incarnation == p.incarnation && e.Sequence <= p.sequence {
		return false
	}
	p.incarnation, p.sequence = e.From.Incarnation, e.Sequence
	return true
}

// learnState takes in what a router says of itself.
func (h *Hosted) learnState(p *hostedPeer, e hostedEnvelope) {
	p.leaving, p.strained, p.storeLost = e.Leaving, e.Strained, e.StoreLost
	p.versions[follower.ConfigurationTable] = e.Configuration
	p.versions[follower.RegistrationTable] = e.Registrations
	h.hearDepartures(e)
	load := *e.Load // the message itself may be on its way to those it is relayed to
	load.From = messenger.RouterID(e.From.Name)
	h.control.handle(load)
}

// hearDepartures takes in which upstreams told another router that they leave.
func (h *Hosted) hearDepartures(e hostedEnvelope) {
	news := false
	for _, d := range e.Departures {
		if h.follower.HearDeparture(d) {
			h.log.WithFields(logrus.Fields{eventField: "departure", "upstream": d.Upstream, "peer": e.From.Name}).Info("upstream says that it leaves")
			news = true
		}
	}
	if news {
		h.publish()
	}
}

// tellPeers sends the others what they should know.
func (h *Hosted) tellPeers() {
	now := h.clock.Now()
	if now.Sub(h.shared) < h.shareEvery() {
		return
	}
	h.shared = now
	if len(h.peers) == 0 {
		h.trySeeds()
		return
	}
	h.forgetSilentPeers(now)
	h.assignFollowers()
	load := h.admitter.Share(now)
	h.sequence++
	e := hostedEnvelope{
		From: h.member(), Sequence: h.sequence, Leaving: h.draining.Load(), Strained: h.strained.Load(),
		StoreLost:     h.lostTables.Load() > 0,
		Configuration: h.follower.Version(follower.ConfigurationTable),
		Registrations: h.follower.Version(follower.RegistrationTable),
		Load:          &load, Departures: h.follower.Departures(),
	}
	near, relays := gossiper.Targets(h.member().id(), h.liveMembers(), h.sequence)
	h.send(near, e)
	h.trySilent(now, e)
	e.Relay = true
	h.send(relays, e)
}

// relay passes a message on to the routers of the own failure domain.
func (h *Hosted) relay(e hostedEnvelope) {
	e.Relay = false
	h.meter.Counter("lentilwood_peer_messages_total{event=\"relayed\"}").Inc()
	h.send(gossiper.Near(h.member().id(), h.liveMembers()), e)
}

func (h *Hosted) send(to []gossiper.Member, e hostedEnvelope) {
	for _, m := range to {
		if m.Name == e.From.Name {
			continue
		}
		_ = h.exchanger.Send(h.peers[m.Name].member.Address, e) // a dropped message is said again with the next share
	}
}

// liveMembers returns the routers that are heard.
func (h *Hosted) liveMembers() []gossiper.Member {
	members := make([]gossiper.Member, 0, len(h.peers))
	for _, p := range h.peers {
		if p.live {
			members = append(members, p.member.id())
		}
	}
	return members
}

// forgetSilentPeers notes which routers are no longer heard.
func (h *Hosted) forgetSilentPeers(now time.Time) {
	limit := h.silentAfter()
	for _, p := range h.peers {
		if !p.live || now.Sub(p.heard) <= limit {
			continue
		}
		p.live = false
		h.log.WithFields(logrus.Fields{eventField: "peer", "peer": p.member.Name, "live": false, "age": now.Sub(p.heard)}).Info("router silent")
	}
}

// silentAfter returns after what time a router counts as silent. In a large fleet
// routers speak less often.
func (h *Hosted) silentAfter() time.Duration {
	return max(leastSilence, missedMessages*h.shareEvery())
}

// shareEvery returns the time between two messages to the other routers.
func (h *Hosted) shareEvery() time.Duration {
	return shareInterval + sharePerPeer*time.Duration(len(h.peers))
}

// trySilent sends a message to the routers that are not heard, from time to time.
func (h *Hosted) trySilent(now time.Time, e hostedEnvelope) {
	for _, p := range h.peers {
		if p.live || now.Sub(p.tried) < retryInterval {
			continue
		}
		p.tried = now
		_ = h.exchanger.Send(p.member.Address, e) // tried again after the interval
	}
}

// trySeeds greets the routers that the settings name, in case the directory
// can't be reached.
func (h *Hosted) trySeeds() {
	for _, address := range h.settings.SeedPeers {
		if address != h.exchanger.Addr() {
			_ = h.exchanger.Send(address, hostedEnvelope{From: h.member()}) // said again with the next share
		}
	}
}
