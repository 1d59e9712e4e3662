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
	// shortestReadInterval bounds the rate of one router in a small fleet.
	shortestReadInterval = time.Second
	// startReadInterval is the time between reads before the first success.
	startReadInterval = 500 * time.Millisecond
	// longestRejectWait bounds the wait for the next read of the table after an
	// update that could not be applied; the wait doubles each time.
	longestRejectWait  = time.Minute
	maxRejectDoublings = 10
	// readTimeout is after how long an unanswered ReadTable is given up.
	readTimeout = 20 * time.Second
	// askTimeout is after how long an unanswered RequestUpdate is given up.
	askTimeout = 500 * time.Millisecond
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

	peers map[messenger.RouterID]peer
	live  []messenger.RouterID
	known int

	// confirmed is when a router last saw in the table that the version at
	// hand is the newest, as far as is known; zero means never.
	confirmed time.Time
	// settled is true once the table or most of the routers have confirmed
	// the version since the start.
	settled bool

	reading  bool
	readAt   time.Time
	nextRead time.Time

	// rejected counts the updates in a row that could not be applied.
	rejected int

	asked   messenger.RouterID
	askedAt time.Time

	resolved time.Time
	inForce  *Document
	phase    string

	ready  bool
	reason NotReadyReason
	told   bool
}

// peer is what another router said last.
type peer struct {
	version     uint64
	incarnation uint64
	// votes is true if it was settled when it answered this router.
	votes bool
	known int
}

// New returns a Configurer that knows no version.
func New(cfg Config) *Configurer {
	return &Configurer{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		peers: make(map[messenger.RouterID]peer),
		known: 1,
	}
}

// Version returns the version in force, 0 if there is none.
func (c *Configurer) Version() uint64 { return c.state.Version() }

// State returns the configuration in force.
func (c *Configurer) State() *State { return c.state }

// Confirmed reports whether the version was confirmed since the start.
func (c *Configurer) Confirmed() bool { return c.settled }

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
func (c *Configurer) Ready() (bool, NotReadyReason) { return c.ready, c.reason }

// VersionAge returns how long ago a router last saw in the table that the version in
// force is the newest. It is false if that is not known.
func (c *Configurer) VersionAge(now time.Time) (time.Duration, bool) {
	if c.confirmed.IsZero() {
		return 0, false
	}
	return now.Sub(c.confirmed), true
}

// Handle takes one event and returns what is to be done.
func (c *Configurer) Handle(now time.Time, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case Tick:
	case TableRead:
		actions = c.tableRead(now, e)
	case PeerVersion:
		c.peerVersion(now, e)
	case PeerUpdateRequest:
		if c.Version() > e.Since {
			actions = append(actions, SendUpdate{Router: e.Router, Update: c.state.UpdateSince(e.Since)})
		}
	case PeerUpdate:
		actions = c.peerAnswer(now, e)
	case PeersChange:
		c.live, c.known = e.Live, max(1, e.KnownRouters)
		c.forget()
	case Accepted:
		actions = c.adopt(now, e.Update)
	}
	actions = append(actions, c.ask(now)...)
	actions = append(actions, c.read(now)...)
	actions = append(actions, c.resolve(now)...)
	return append(actions, c.judge(now)...)
}

// tableRead takes what the table holds.
func (c *Configurer) tableRead(now time.Time, e TableRead) []Action {
	started := c.readAt
	c.reading = false
	if e.Err != nil {
		return nil
	}
	actions := c.adopt(now, e.Update)
	if c.Version() == e.Update.Version {
		c.confirm(started)
		c.settled = true
	}
	return actions
}

// confirm notes that the version at hand was the newest at a time.
func (c *Configurer) confirm(t time.Time) {
	if t.After(c.confirmed) {
		c.confirmed = t
	}
}

// adopt moves on to a newer version. What does not lead on is dropped: the
// next read of the table brings the whole.
func (c *Configurer) adopt(now time.Time, u Update) []Action {
	next, err := c.state.Apply(u)
	if err != nil {
		c.rejected++
		c.nextRead = now.Add(min(longestRejectWait, startReadInterval<<min(c.rejected, maxRejectDoublings)))
		return []Action{UpdateRejected{Version: u.Version, Err: err}}
	}
	c.rejected = 0
	changed := next.Version() > c.Version()
	c.state = next
	if !changed {
		return nil
	}
	c.resolved = time.Time{}
	return []Action{SendHeartbeats{}}
}

// peerVersion notes a heartbeat.
func (c *Configurer) peerVersion(now time.Time, e PeerVersion) {
	p := c.peers[e.Router]
	if e.Incarnation < p.incarnation {
		return
	}
	if e.Incarnation > p.incarnation {
		p = peer{incarnation: e.Incarnation}
	}
	p.version = max(p.version, e.Version)
	p.votes = p.votes || e.Confirmed && e.IsReply
	p.known = e.KnownRouters
	c.peers[e.Router] = p
	if !e.AgeUnknown && e.Version == c.Version() && e.Version > 0 {
		c.confirm(now.Add(-e.VersionAge))
	}
}

func (c *Configurer) peerAnswer(now time.Time, e PeerUpdate) []Action {
	if e.Router == c.asked {
		c.asked = ""
	}
	return c.adopt(now, e.Update)
}

// ask asks the router with the newest version, one at a time.
func (c *Configurer) ask(now time.Time) []Action {
	if c.asked != "" && now.Sub(c.askedAt) < askTimeout {
		return nil
	}
	var best messenger.RouterID
	for id, p := range c.peers {
		if p.version <= c.Version() || id == c.asked && len(c.peers) > 1 {
			continue
		}
		top := c.peers[best].version
		if p.version > top || p.version == top && id < best {
			best = id
		}
	}
	if best == "" {
		c.asked = ""
		return nil
	}
	c.asked, c.askedAt = best, now
	return []Action{RequestUpdate{Router: best, Since: c.Version()}}
}

// read reads the table when it is time.
func (c *Configurer) read(now time.Time) []Action {
	if c.reading && now.Sub(c.readAt) < readTimeout || now.Before(c.nextRead) {
		return nil
	}
	interval := max(shortestReadInterval, time.Duration(c.known)*fleetReadInterval)
	if !c.settled {
		interval = startReadInterval
	}
	jitter := time.Duration(c.rng.Int64N(int64(interval)))
	c.reading, c.readAt, c.nextRead = true, now, now.Add(interval/2+jitter)
	return []Action{ReadTable{State: c.state}}
}

// resolve puts the document in force as it applies now.
func (c *Configurer) resolve(now time.Time) []Action {
	doc := c.state.Document()
	if doc == nil || now.Sub(c.resolved) < resolveInterval {
		return nil
	}
	c.resolved = now
	phase := doc.phase(now)
	if doc == c.inForce && phase == c.phase {
		return nil
	}
	c.inForce, c.phase = doc, phase
	return []Action{ApplyConfiguration{Document: doc, Policy: doc.Resolve(now, c.cfg.Self, c.cfg.Domain)}}
}
