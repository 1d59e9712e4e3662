// Package configurer manages the configuration of the fleet: the document that
// operators write, its validation, its resolution into the policy in force, its
// history in the platform's table, and its distribution to all routers. A router
// never goes back to an older version.
//
// A version is accepted once it is committed to the table, conditional on the
// version before it. Each router reads the table at long intervals. In between,
// it learns of a new version from another router's heartbeat and requests the
// change from that router. The fleet therefore reads the table a few times a
// second whatever its size, and a change keeps spreading while the store is down.
//
// # Usage
//
// The decision logic does no I/O. A router feeds a Configurer these events:
//
//   - Tick at least every TickInterval;
//   - TableRead with the result of Fetch, for each ReadTable;
//   - PeerVersion for each heartbeat received from another router;
//   - PeerUpdateRequest and PeerUpdate for each such message received;
//   - PeersChange whenever the set of live or known routers changes;
//   - Accepted when the router's own operator API has committed a change.
//
// and carries out these actions:
//
//   - ReadTable: call Fetch on another goroutine;
//   - RequestUpdate, SendUpdate: send the message to the named router;
//   - ApplyConfiguration: hand the policy to the scheduler (messenger.PolicyChange)
//     and the document to identification and routing;
//   - SendHeartbeats: have the registrar send heartbeats at once;
//   - ReadyChange: change the result of the readiness check;
//   - UpdateRejected: log that an update could not be applied.
//
// The heartbeats that the router sends carry Version, VersionAge and Confirmed.
// Package coordinator connects the events and actions of the routers.
//
//	c := configurer.New(configurer.Config{Self: "r1", Domain: "d1", Seed: seed})
//	for _, a := range c.Handle(clock.Now(), configurer.Tick{}) {
//		switch a := a.(type) {
//		case configurer.ReadTable:
//			go func() { u, err := configurer.Fetch(ctx, store, a.State); submit(configurer.TableRead{Update: u, Err: err}) }()
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

// Intervals and timeouts of a Configurer.
const (
	// TickInterval is the longest allowed time between two Ticks.
	TickInterval = 100 * time.Millisecond
	// fleetReadInterval is the mean time between two reads of the table across the
	// whole fleet. Each router waits this long multiplied by the number of routers,
	// so that the load on the store does not grow with the fleet.
	fleetReadInterval = 250 * time.Millisecond
	// minReadInterval limits the read rate of a router in a small fleet.
	minReadInterval = time.Second
	// initialReadInterval is the mean time between reads until the version is
	// confirmed.
	initialReadInterval = 500 * time.Millisecond
	// maxRejectBackoff is the longest wait before the next read of the table after
	// an update that could not be applied. The wait doubles with each such update.
	maxRejectBackoff   = time.Minute
	maxRejectDoublings = 10
	// readTimeout is the time after which an unanswered ReadTable is abandoned.
	readTimeout = 20 * time.Second
	// requestTimeout is the time after which an unanswered RequestUpdate is
	// abandoned.
	requestTimeout = 500 * time.Millisecond
	// StaleLimit is how long a router without contact to a majority stays ready
	// when its version is no longer confirmed by the table.
	StaleLimit = 20 * time.Second
	// resolveInterval is how often the Configurer checks whether a scheduled period
	// or an exception has started or ended.
	resolveInterval = time.Second
)

// Config holds the settings of a Configurer.
type Config struct {
	Self   messenger.RouterID
	Domain string
	// Seed initialises the random jitter, so that tests are reproducible.
	Seed uint64
}

// Configurer decides when a router reads the table or requests an update from
// another router, which version is in force, and whether the router is ready.
// It is not safe for concurrent use.
type Configurer struct {
	cfg   Config
	rng   *rand.Rand
	state *State

	peers        map[messenger.RouterID]peer
	livePeers    []messenger.RouterID
	knownRouters int

	// confirmedAt is the latest known time at which any router saw in the table
	// that the current version is the newest; zero means never.
	confirmedAt time.Time
	// confirmed is true once the table, or enough other routers, have confirmed the
	// version since this router started. See confirmByPeers.
	confirmed bool

	readInProgress bool
	readStartedAt  time.Time
	nextReadAt     time.Time

	// rejectedInRow counts consecutive updates that could not be applied.
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

// peer is the last reported state of another router.
type peer struct {
	version     uint64
	incarnation uint64
	// repliedConfirmed is true if the router reported a confirmed version in a
	// reply to a heartbeat of this router.
	repliedConfirmed bool
	knownRouters     int
}

// New returns a Configurer without a configuration.
func New(cfg Config) *Configurer {
	return &Configurer{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(cfg.Seed, 0)),
		peers:        make(map[messenger.RouterID]peer),
		knownRouters: 1,
	}
}

// Version returns the version in force, or 0 if there is none.
func (c *Configurer) Version() uint64 { return c.state.Version() }

// State returns the configuration in force.
func (c *Configurer) State() *State { return c.state }

// Confirmed reports whether the version has been confirmed since the start.
func (c *Configurer) Confirmed() bool { return c.confirmed }

// PeerVersions returns the last reported version of each other live router.
func (c *Configurer) PeerVersions() map[messenger.RouterID]uint64 {
	versions := make(map[messenger.RouterID]uint64, len(c.peers))
	for id, p := range c.peers {
		versions[id] = p.version
	}
	return versions
}

// CountRoutersWith returns how many routers, including this one, are known to have
// the given version or a newer one. Once they are more than half of the fleet, no
// outage of the store and no restart can take the fleet back to an older version.
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

// VersionAge returns the time since any router last saw in the table that the
// version in force is the newest. It returns false if that time is not known.
func (c *Configurer) VersionAge(now time.Time) (time.Duration, bool) {
	if c.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(c.confirmedAt), true
}

// Handle processes one event and returns the actions to carry out.
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

// handleTableRead applies the update read from the table. If the router then has
// the version of the table, that version is confirmed as of the start of the read.
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

// confirmVersion records that the current version was the newest at time t.
func (c *Configurer) confirmVersion(t time.Time) {
	if t.After(c.confirmedAt) {
		c.confirmedAt = t
	}
}

// applyUpdate applies a newer version. An update that does not follow the current
// version is rejected; a later read of the table returns a complete one.
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

// recordPeerVersion records the version reported in a heartbeat. Heartbeats from
// earlier incarnations of the peer are ignored.
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

// requestNewerVersion requests an update from the router with the newest version.
// At most one request is outstanding; after a timeout another router is preferred.
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

// startTableRead reads the table when the read interval has passed.
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

// resolvePolicy applies the document again if it has changed or if a period or an
// exception has started or ended.
func (c *Configurer) resolvePolicy(now time.Time) []Action {
	doc := c.state.Document()
	if doc == nil || now.Sub(c.resolvedAt) < resolveInterval {
		return nil
	}
	c.resolvedAt = now
	policyKey := doc.policyKey(now)
	if doc == c.appliedDoc && policyKey == c.appliedPolicyKey {
		return nil
	}
	c.appliedDoc, c.appliedPolicyKey = doc, policyKey
	return []Action{ApplyConfiguration{Document: doc, Policy: doc.Resolve(now, c.cfg.Self, c.cfg.Domain)}}
}
