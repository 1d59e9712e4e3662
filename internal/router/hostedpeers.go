package router

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// peerQueue bounds the messages that wait for a router: each says all that
	// the ones before it did.
	peerQueue = 4
	// peerTimeout bounds one call to a router.
	peerTimeout = 400 * time.Millisecond
	// shareInterval is the time between two messages to the other routers, and
	// sharePerPeer what each further router adds to it, so that what a router
	// receives stays bounded.
	shareInterval = 120 * time.Millisecond
	sharePerPeer  = 5 * time.Millisecond
	// silentAfter is when a router counts as silent; it is then tried again
	// every retryInterval only.
	silentAfter   = 2 * time.Second
	retryInterval = time.Second
	// lagBefore is how long a router must lag behind before it is sent rows:
	// most have them from the store by then. lagSpread keeps all others from
	// sending them at the same time.
	lagBefore = 300 * time.Millisecond
	lagSpread = 400 * time.Millisecond
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
	// Leaving is true if the sender is about to stop, Strained if it sends its
	// callers elsewhere.
	Leaving, Strained bool
	// Configuration and Registrations are the newest versions that the sender
	// has of the two tables.
	Configuration, Registrations uint64
	Load                         messenger.PeerLoad
	// Rows are what the receiver lacks.
	Rows []follower.Row
}

// hostedPeer is another router.
type hostedPeer struct {
	member  Member
	heard   time.Time
	tried   time.Time
	live    bool
	leaving bool
	// strained is true while it sends its callers elsewhere.
	strained bool
	// versions are the newest that it said it has, laggingSince when it was
	// first seen to have less than this router.
	versions     map[follower.Table]uint64
	laggingSince time.Time
}

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
	p := h.meet(e.From)
	if p == nil {
		return
	}
	p.heard = h.clock.Now()
	p.leaving, p.strained = e.Leaving, e.Strained
	if !p.live {
		p.live = true
		h.log.WithFields(logrus.Fields{eventField: "peer", "peer": p.member.Name, "live": true}).Info("router heard")
	}
	p.versions[follower.ConfigurationTable] = e.Configuration
	p.versions[follower.RegistrationTable] = e.Registrations
	e.Load.From = messenger.RouterID(e.From.Name)
	h.control.handle(e.Load)
	if len(e.Rows) > 0 {
		h.mergePeerRows(p, e.Rows)
	}
}

// mergePeerRows takes in rows that this router lacks.
func (h *Hosted) mergePeerRows(p *hostedPeer, rows []follower.Row) {
	for _, table := range []follower.Table{follower.ConfigurationTable, follower.RegistrationTable} {
		b := follower.Batch{Table: table}
		for _, row := range rows {
			if row.Table == table {
				b.Rows = append(b.Rows, row)
			}
		}
		h.merge(b)
	}
	h.log.WithFields(logrus.Fields{eventField: "rowsFromPeer", "peer": p.member.Name, "rows": len(rows)}).Info("rows taken from a router")
}

// tellPeers sends the others what they should know.
func (h *Hosted) tellPeers() {
	now := h.clock.Now()
	if now.Sub(h.shared) < shareInterval+sharePerPeer*time.Duration(len(h.peers)) {
		return
	}
	h.shared = now
	if len(h.peers) == 0 {
		h.trySeeds()
		return
	}
	h.assignFollowers()
	e := hostedEnvelope{
		From: h.member(), Leaving: h.draining.Load(), Strained: h.strained.Load(),
		Configuration: h.follower.Version(follower.ConfigurationTable),
		Registrations: h.follower.Version(follower.RegistrationTable),
		Load:          h.admitter.Share(now),
	}
	for _, p := range h.peers {
		h.tell(now, p, e)
	}
}

// assignFollowers works out whether this router follows the store closely: those
// with the lowest hashes among the routers that are heard do.
func (h *Hosted) assignFollowers() {
	own := xxhash.Sum64String(string(h.self))
	before := 0
	for name, p := range h.peers {
		if p.live && !p.leaving && xxhash.Sum64String(name) < own {
			before++
		}
	}
	h.lagging.Store(before >= followers)
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

func (h *Hosted) tell(now time.Time, p *hostedPeer, e hostedEnvelope) {
	if p.live && now.Sub(p.heard) > silentAfter {
		p.live = false
		h.log.WithFields(logrus.Fields{eventField: "peer", "peer": p.member.Name, "live": false, "age": now.Sub(p.heard)}).Info("router silent")
	}
	if !p.live && now.Sub(p.tried) < retryInterval {
		return
	}
	p.tried = now
	e.Rows = h.lacking(now, p)
	_ = h.exchanger.Send(p.member.Address, e) // a dropped message is said again with the next share
}

// lacking returns the rows that a router lacks for a while now.
func (h *Hosted) lacking(now time.Time, p *hostedPeer) []follower.Row {
	behind := false
	for _, table := range []follower.Table{follower.ConfigurationTable, follower.RegistrationTable} {
		behind = behind || p.live && p.versions[table] < h.follower.Version(table)
	}
	if !behind || h.lagging.Load() {
		p.laggingSince = time.Time{}
		return nil
	}
	if p.laggingSince.IsZero() {
		p.laggingSince = now.Add(time.Duration(h.incarnation % uint64(lagSpread)))
		return nil
	}
	if now.Sub(p.laggingSince) < lagBefore {
		return nil
	}
	p.laggingSince = now
	var rows []follower.Row
	for _, table := range []follower.Table{follower.ConfigurationTable, follower.RegistrationTable} {
		rows = append(rows, h.follower.Since(table, p.versions[table])...)
	}
	return rows
}
