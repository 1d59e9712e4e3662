// Package configurer holds the configuration of the fleet: the document that
// operators write, its check, its resolution into the policy in force, its
// history in the platform's table, and the way in which every router gets each
// new version and never goes back.
//
// A version is accepted once it is committed to the table, conditional on the
// version before it. Routers learn of it from the table, which each reads
// rarely, or from the version on another router's heartbeat, and then fetch
// the change from that router. So the fleet reads the table a few times a
// second whatever its size, and a change still spreads while the store is
// down.
//
// # Usage
//
// The decision logic does no I/O. A router feeds a Configurer these events:
//
//   - Tick at least every TickInterval;
//   - TableRead with the result of Fetch for each ReadTable;
//   - PeerVersion for each heartbeat received from another router;
//   - PeerUpdateRequest and PeerUpdate for each message of the kind received;
//   - PeersChange whenever the set of live or known routers changes;
//   - Accepted when its operators' API committed a change itself.
//
// and carries out these actions:
//
//   - ReadTable: call Fetch on another goroutine;
//   - RequestUpdate, SendUpdate: send the message to the router named;
//   - ApplyConfiguration: hand the policy to the scheduler (messenger.PolicyChange)
//     and the document to identification and routing;
//   - SendHeartbeats: have the registrar send heartbeats at once;
//   - ReadyChange: change what the readiness check answers;
//   - UpdateRejected: log that an update could not be applied.
//
// The heartbeats that the router sends carry Version, VersionAge and Confirmed. The
// package coordinator does all this feeding between routers.
//
//	c := configurer.New(configurer.Config{Self: "r1", Domain: "d1", Seed: seed})
//	for _, a := range c.Handle(clock.Now(), configurer.Tick{}) {
//		switch a := a.(type) {
//		case configurer.ReadTable:
//			go func() { u, err := configurer.Fetch(ctx, store, a.State); tell(configurer.TableRead{Update: u, Err: err}) }()
//		}
//	}
//
// Operators change the document through an Editor, which the command line and
// the routers' operator API share.
package configurer

import (
	"math/rand/v2"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Times of a Configurer.
const (
	// TickInterval is the longest time between two Ticks.
	TickInterval = 100 * time.Millisecond
	// fleetReadInterval is the time between two reads of the table by the
	// whole fleet; each router waits that long for every router there is.
	fleetReadInterval = 250 * time.Millisecond
	// minReadInterval bounds the rate of one router in a small fleet.
	minReadInterval = time.Second
	// initialReadInterval is the time between reads before the first success.
	initialReadInterval = 500 * time.Millisecond
	// maxRejectBackoff bounds the wait for the next read of the table after an
	// update that could not be applied; the wait doubles each time.
	maxRejectBackoff   = time.Minute
	maxRejectDoublings = 10
	// readTimeout is after how long an unanswered ReadTable is given up.
	readTimeout = 20 * time.Second
	// requestTimeout is after how long an unanswered RequestUpdate is given up.
	requestTimeout = 500 * time.Millisecond
	// StaleLimit is for how long a router that hears few others trusts its
	// version without news of the table.
	StaleLimit = 20 * time.Second
	// resolveInterval is how often schedules and ends of exceptions are looked
	// at.
	resolveInterval = time.Second
)

// Config are the settings of a Configurer.
type Config struct {
	Self   messenger.RouterID
	Domain string
	// Seed makes the jitter the same on every run.
	Seed uint64
}

// Configurer decides when a router reads the table or asks another router,
// which version is in force, and whether the router is ready. It is not safe
// for concurrent use.
type Configurer struct {
	cfg   Config
	rng   *rand.Rand
	state *State

	peers        map[messenger.RouterID]peer
	livePeers    []messenger.RouterID
	knownRouters int

	// confirmedAt is when a router last saw in the table that the version at
	// hand is the newest, as far as is known; zero means never.
	confirmedAt time.Time
	// confirmed is true once the table or most of the routers have confirmed
	// the version since the start.
	confirmed bool

	readInProgress bool
	readStartedAt  time.Time
	nextReadAt     time.Time

	// rejectedInRow counts the updates in a row that could not be applied.
	rejectedInRow int

	requestedFrom messenger.RouterID
	requestedAt   time.Time

	resolvedAt       time.Time
	appliedDoc       *Document
	appliedPolicyKey string

	ready          bool
	notReadyReason NotReadyReason
	readyReported  bool
}

// peer is what another router said last.
type peer struct {
	version     uint64
	incarnation uint64
	// repliedConfirmed is true if it was settled when it answered this router.
	repliedConfirmed bool
	knownRouters     int
}

// New returns a Configurer that knows no version.
func New(cfg Config) *Configurer {
	return &Configurer{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(cfg.Seed, 0)),
		peers:        make(map[messenger.RouterID]peer),
		knownRouters: 1,
	}
}

// Version returns the version in force, 0 if there is none.
func (c *Configurer) Version() uint64 { return c.state.Version() }

// State returns the configuration in force.
func (c *Configurer) State() *State { return c.state }

// Confirmed reports whether the version was confirmed since the start.
func (c *Configurer) Confirmed() bool { return c.confirmed }

// PeerVersions returns the versions that other routers said they have.
func (c *Configurer) PeerVersions() map[messenger.RouterID]uint64 {
	versions := make(map[messenger.RouterID]uint64, len(c.peers))
	for id, p := range c.peers {
		versions[id] = p.version
	}
	return versions
}

// CountRoutersWith returns how many routers, this one included, are known to have at
// least a version. Once they are more than half of the fleet, no outage of the
// store and no restart makes the fleet go back behind it.
func (c *Configurer) CountRoutersWith(version uint64) int {
	n := 0
	if c.Version() >= version {
		n++
	}
	for _, p := range c.peers {
		if p.version >= version {
			n++
		}
	}
	return n
}

// Ready reports whether the router may serve callers, and if not, why.
func (c *Configurer) Ready() (bool, NotReadyReason) { return c.ready, c.notReadyReason }

// VersionAge returns how long ago a router last saw in the table that the version in
// force is the newest. It is false if that is not known.
func (c *Configurer) VersionAge(now time.Time) (time.Duration, bool) {
	if c.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(c.confirmedAt), true
}

// Handle takes one event and returns what is to be done.
func (c *Configurer) Handle(now time.Time, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case Tick:
	case TableRead:
		actions = c.handleTableRead(now, e)
	case PeerVersion:
		c.recordPeerVersion(now, e)
	case PeerUpdateRequest:
		if c.Version() > e.Since {
			actions = append(actions, SendUpdate{Router: e.Router, Update: c.state.UpdateSince(e.Since)})
		}
	case PeerUpdate:
		actions = c.handlePeerUpdate(now, e)
	case PeersChange:
		c.livePeers, c.knownRouters = e.Live, max(1, e.KnownRouters)
		c.removeSilentPeers()
	case Accepted:
		actions = c.applyUpdate(now, e.Update)
	}
	actions = append(actions, c.requestNewerVersion(now)...)
	actions = append(actions, c.startTableRead(now)...)
	actions = append(actions, c.resolvePolicy(now)...)
	return append(actions, c.updateReadiness(now)...)
}

// handleTableRead takes what the table holds.
func (c *Configurer) handleTableRead(now time.Time, e TableRead) []Action {
	started := c.readStartedAt
	c.readInProgress = false
	if e.Err != nil {
		return nil
	}
	actions := c.applyUpdate(now, e.Update)
	if c.Version() == e.Update.Version {
		c.confirmVersion(started)
		c.confirmed = true
	}
	return actions
}

// confirmVersion notes that the version at hand was the newest at a time.
func (c *Configurer) confirmVersion(t time.Time) {
	if t.After(c.confirmedAt) {
		c.confirmedAt = t
	}
}

// applyUpdate moves on to a newer version. What does not lead on is dropped: the
// next read of the table brings the whole.
func (c *Configurer) applyUpdate(now time.Time, u Update) []Action {
	next, err := c.state.Apply(u)
	if err != nil {
		c.rejectedInRow++
		c.nextReadAt = now.Add(min(maxRejectBackoff, initialReadInterval<<min(c.rejectedInRow, maxRejectDoublings)))
		return []Action{UpdateRejected{Version: u.Version, Err: err}}
	}
	c.rejectedInRow = 0
	changed := next.Version() > c.Version()
	c.state = next
	if !changed {
		return nil
	}
	c.resolvedAt = time.Time{}
	return []Action{SendHeartbeats{}}
}

// recordPeerVersion notes a heartbeat.
func (c *Configurer) recordPeerVersion(now time.Time, e PeerVersion) {
	p := c.peers[e.Router]
	if e.Incarnation < p.incarnation {
		return
	}
	if e.Incarnation > p.incarnation {
		p = peer{incarnation: e.Incarnation}
	}
	p.version = max(p.version, e.Version)
	p.repliedConfirmed = p.repliedConfirmed || e.Confirmed && e.IsReply
	p.knownRouters = e.KnownRouters
	c.peers[e.Router] = p
	if !e.AgeUnknown && e.Version == c.Version() && e.Version > 0 {
		c.confirmVersion(now.Add(-e.VersionAge))
	}
}

func (c *Configurer) handlePeerUpdate(now time.Time, e PeerUpdate) []Action {
	if e.Router == c.requestedFrom {
		c.requestedFrom = ""
	}
	return c.applyUpdate(now, e.Update)
}

// requestNewerVersion asks the router with the newest version, one at a time.
func (c *Configurer) requestNewerVersion(now time.Time) []Action {
	if c.requestedFrom != "" && now.Sub(c.requestedAt) < requestTimeout {
		return nil
	}
	var bestPeer messenger.RouterID
	for id, p := range c.peers {
		if p.version <= c.Version() || id == c.requestedFrom && len(c.peers) > 1 {
			continue
		}
		bestVersion := c.peers[bestPeer].version
		if p.version > bestVersion || p.version == bestVersion && id < bestPeer {
			bestPeer = id
		}
	}
	if bestPeer == "" {
		c.requestedFrom = ""
		return nil
	}
	c.requestedFrom, c.requestedAt = bestPeer, now
	return []Action{RequestUpdate{Router: bestPeer, Since: c.Version()}}
}

// startTableRead reads the table when it is time.
func (c *Configurer) startTableRead(now time.Time) []Action {
	if c.readInProgress && now.Sub(c.readStartedAt) < readTimeout || now.Before(c.nextReadAt) {
		return nil
	}
	interval := max(minReadInterval, time.Duration(c.knownRouters)*fleetReadInterval)
	if !c.confirmed {
		interval = initialReadInterval
	}
	jitter := time.Duration(c.rng.Int64N(int64(interval)))
	c.readInProgress, c.readStartedAt, c.nextReadAt = true, now, now.Add(interval/2+jitter)
	return []Action{ReadTable{State: c.state}}
}

// resolvePolicy puts the document in force as it applies now.
func (c *Configurer) resolvePolicy(now time.Time) []Action {
	doc := c.state.Document()
	if doc == nil || now.Sub(c.resolvedAt) < resolveInterval {
		return nil
	}
	c.resolvedAt = now
	phase := doc.policyKey(now)
	if doc == c.appliedDoc && phase == c.appliedPolicyKey {
		return nil
	}
	c.appliedDoc, c.appliedPolicyKey = doc, phase
	return []Action{ApplyConfiguration{Document: doc, Policy: doc.Resolve(now, c.cfg.Self, c.cfg.Domain)}}
}
