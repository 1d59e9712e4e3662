// Package registrar decides which routers belong to the fleet and which of them are alive.
//
// Each router sends a heartbeat to a few others every second, in the order of a seeded
// shuffle, so that the load of a router does not grow with the fleet. Heartbeats carry
// updates about other members. If a router does not answer, other routers are asked to
// probe it. It is announced as suspect only if one of them reports it as unresponsive too,
// and it may refute that. Until then the suspicion is local: a router that is itself cut
// off receives no such report and declares no other router dead.
//
// Rows in the platform's table, which are renewed rarely, let routers find one another and
// confirm that a router is gone, as does the platform's list of VMs. Members that are dead
// by heartbeats alone keep their roles while this router does not reach most of the fleet,
// so that the smaller side of a network partition takes over no roles.
//
// # Usage
//
//	r := registrar.New(registrar.Config{Self: registrar.Member{Router: "r1", Address: "10.0.0.1:7300", Incarnation: started}, Seeds: seeds, Seed: seed})
//	for _, a := range r.Handle(clock.Now(), registrar.Tick{}) {
//		switch a := a.(type) {
//		case registrar.Send:        // to a.Address; arrives as Receive
//		case registrar.ReadRows:    // store.Scan(ctx, registrar.Table, a.Since, ...); answer RowsRead
//		case registrar.WriteRow:    // store.Commit(ctx, []storer.Op{a.Op}); answer RowWritten
//		case registrar.ReadVMs:     // store.VMs(ctx); answer VMsRead
//		case registrar.PeersChange: // notify the scheduler and the configurer
//		}
//	}
package registrar

import (
	"math/rand/v2"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Timeouts and limits of a Registrar.
const (
	// TickInterval is the longest time between two Ticks.
	TickInterval = 100 * time.Millisecond
	// heartbeatInterval is the time between two rounds of heartbeats.
	heartbeatInterval = time.Second
	// minGossipInterval is the shortest time between two extra rounds of heartbeats.
	minGossipInterval = 100 * time.Millisecond
	// fanout is the number of routers that receive a heartbeat in a regular round.
	fanout = 2
	// gossipFanout is the number of routers that receive a heartbeat in an extra round.
	gossipFanout = 3
	// replyTimeout is how long to wait for a reply before other routers are asked to probe the
	// router. It also bounds each such probe.
	replyTimeout = 700 * time.Millisecond
	// suspectTimeout is how long a router may leave a heartbeat unanswered before it counts as
	// unresponsive.
	suspectTimeout = 2 * time.Second
	// probeHelpers is the number of routers that are asked to probe an unresponsive one.
	probeHelpers = 3
	// suspicionTimeout is how long a suspected router has to refute the suspicion.
	suspicionTimeout = 4 * time.Second
	// isolationTimeout is how long a router may receive nothing before it takes itself to be
	// cut off.
	isolationTimeout = 4 * time.Second
	// pauseThreshold is the time between two events from which this process counts as having
	// been paused. The timers are shifted by that time.
	pauseThreshold = 2 * time.Second
	// retentionTime is how long a dead router is counted if the platform does not confirm that
	// it is gone, and how long a router that left is remembered.
	retentionTime = 5 * time.Minute
	// reconnectInterval is the time between heartbeats to dead routers and seeds.
	reconnectInterval = 5 * time.Second
	// maxUpdates is the maximum number of updates in one heartbeat.
	maxUpdates = 4
	// updateSends is how many times each update is sent.
	updateSends = 8
)

// Config holds the settings of a Registrar.
type Config struct {
	// Self is this router. Its incarnation must be higher than before the last restart; the
	// start time is suitable.
	Self Member
	// Seeds are addresses of other routers, from the settings.
	Seeds []string
	// Seed seeds the random choices, so that runs can be reproduced.
	Seed uint64
}

// Registrar is the membership logic. It does no I/O and is not safe for concurrent use.
type Registrar struct {
	cfg     Config
	rng     *rand.Rand
	self    Member
	members map[messenger.RouterID]*member
	// ids are the keys of members, sorted.
	ids            []messenger.RouterID
	heartbeatQueue []messenger.RouterID

	lastEvent     time.Time
	nextRound     time.Time
	nextReconnect time.Time
	lastGossip    time.Time
	started       time.Time
	lastReceived  time.Time
	gossipDue     bool

	probes   []probe
	platform platform
	reported PeersChange
	// changed is true if the view of the fleet may have changed.
	changed bool
	stopped bool
}

// member is another router with the state of contact with it.
type member struct {
	Member
	// lastHeard is when it last sent a heartbeat or a helper reported it as responsive.
	lastHeard time.Time
	// unansweredSince is when the first heartbeat that has had no reply since was sent; zero
	// if there is none.
	unansweredSince time.Time
	// helpersAsked is true once other routers were asked to probe it.
	helpersAsked bool
	// reportedSilent is true if one of them reported it as unresponsive.
	reportedSilent bool
	// statusSince is when its status last changed.
	statusSince time.Time
	// sendsLeft is how many more times its update is to be sent.
	sendsLeft int
}

// New returns a Registrar without other members.
func New(cfg Config) *Registrar {
	return &Registrar{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		self:    cfg.Self,
		members: make(map[messenger.RouterID]*member),
		platform: platform{
			rows: make(map[messenger.RouterID]memberRow),
		},
	}
}

// Self returns this router as described to other routers.
func (r *Registrar) Self() Member { return r.self }

// Current reports whether a message comes from a router's newest incarnation, so that late
// messages of an earlier one can be dropped.
func (r *Registrar) Current(from Member) bool {
	m, ok := r.members[from.Router]
	return ok && m.Incarnation == from.Incarnation
}

// Replaced reports whether a router is known to have restarted since an incarnation.
func (r *Registrar) Replaced(id messenger.RouterID, incarnation uint64) bool {
	m, ok := r.members[id]
	return ok && m.Incarnation > incarnation
}

// Address returns the address of another router.
func (r *Registrar) Address(id messenger.RouterID) (string, bool) {
	m, ok := r.members[id]
	if !ok {
		return "", false
	}
	return m.Address, true
}

// Handle processes one event and returns the actions to carry out.
func (r *Registrar) Handle(now time.Time, e Event) []Action {
	if r.stopped {
		return nil
	}
	r.adjustForPause(now)
	var actions []Action
	switch e := e.(type) {
	case Tick:
		r.changed = true
		actions = r.tick(now)
	case Receive:
		actions = r.receive(now, e.Heartbeat)
	case RowsRead:
		actions = r.rowsRead(now, e)
	case RowWritten:
		r.rowWritten(now, e)
	case VMsRead:
		r.vmsRead(now, e)
	case GossipNow:
		r.gossipDue = true
	case Leave:
		r.self.Leaving = true
		r.gossipDue = true
	case Stop:
		return r.stop()
	}
	actions = append(actions, r.gossip(now)...)
	return append(actions, r.reportPeers(now)...)
}

// adjustForPause shifts the timers if the process was paused, so that a router resumed after a
// pause does not declare the others dead.
func (r *Registrar) adjustForPause(now time.Time) {
	if r.lastEvent.IsZero() {
		r.started, r.lastReceived = now, now
	} else if gap := now.Sub(r.lastEvent); gap > pauseThreshold {
		r.shiftTimers(gap)
	}
	r.lastEvent = now
}

func (r *Registrar) shiftTimers(gap time.Duration) {
	r.lastReceived = r.lastReceived.Add(gap)
	for _, m := range r.members {
		m.statusSince = m.statusSince.Add(gap)
		m.lastHeard = m.lastHeard.Add(gap)
		m.unansweredSince = time.Time{}
	}
	r.probes = nil
}

// tick updates statuses and returns the heartbeats, probes and platform calls that are due.
func (r *Registrar) tick(now time.Time) []Action {
	r.updateStatuses(now)
	actions := r.requestProbes(now)
	if !now.Before(r.nextRound) {
		r.nextRound = now.Add(heartbeatInterval)
		actions = append(actions, r.sendRound(now)...)
	}
	if !now.Before(r.nextReconnect) {
		r.nextReconnect = now.Add(reconnectInterval)
		actions = append(actions, r.reconnect(now)...)
	}
	return append(actions, r.duePlatformCalls(now)...)
}

// sendRound sends heartbeats that request a reply to the next routers in the shuffled queue.
func (r *Registrar) sendRound(now time.Time) []Action {
	var actions []Action
	for range min(fanout, len(r.aliveOrSuspect())) {
		id, ok := r.nextReceiver()
		if !ok {
			break
		}
		m := r.members[id]
		if m.unansweredSince.IsZero() {
			m.unansweredSince, m.helpersAsked, m.reportedSilent = now, false, false
		}
		actions = append(actions, r.send(m, r.heartbeatRequest(now)))
	}
	return actions
}

// heartbeatRequest returns a heartbeat that requests a reply.
func (r *Registrar) heartbeatRequest(now time.Time) Heartbeat {
	return Heartbeat{ReplyRequested: true, SentUnixMs: now.UnixMilli()}
}

// nextReceiver returns the next router of the shuffled queue. The queue is refilled and
// shuffled when it is empty, so that every router gets a heartbeat within a bounded time.
func (r *Registrar) nextReceiver() (messenger.RouterID, bool) {
	for range 2 {
		for len(r.heartbeatQueue) > 0 {
			id := r.heartbeatQueue[0]
			r.heartbeatQueue = r.heartbeatQueue[1:]
			if m, ok := r.members[id]; ok && m.Status < Dead {
				return id, true
			}
		}
		r.heartbeatQueue = r.aliveOrSuspect()
		r.rng.Shuffle(len(r.heartbeatQueue), func(i, j int) { r.heartbeatQueue[i], r.heartbeatQueue[j] = r.heartbeatQueue[j], r.heartbeatQueue[i] })
	}
	return "", false
}

// aliveOrSuspect returns the ids of the members that are not dead, sorted.
func (r *Registrar) aliveOrSuspect() []messenger.RouterID {
	var ids []messenger.RouterID
	for _, id := range r.ids {
		if r.members[id].Status < Dead {
			ids = append(ids, id)
		}
	}
	return ids
}

// gossip sends heartbeats to some routers without waiting for the next round.
func (r *Registrar) gossip(now time.Time) []Action {
	if !r.gossipDue || now.Sub(r.lastGossip) < minGossipInterval {
		return nil
	}
	r.gossipDue, r.lastGossip = false, now
	return r.sendRandom(Heartbeat{}, gossipFanout, "")
}

// sendRandom sends a heartbeat to up to n random members that are not suspect, except one.
func (r *Registrar) sendRandom(h Heartbeat, n int, except messenger.RouterID) []Action {
	ids := r.aliveOrSuspect()
	r.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var actions []Action
	for _, id := range ids {
		if id == except || r.members[id].Status == Suspect {
			continue
		}
		if len(actions) == n {
			break
		}
		actions = append(actions, r.send(r.members[id], h))
	}
	return actions
}

// reconnect sends a heartbeat to one dead router, which may have restarted or become reachable
// again, and to the seeds that are not known to be alive.
func (r *Registrar) reconnect(now time.Time) []Action {
	var actions []Action
	var dead []*member
	known := make(map[string]bool)
	for _, id := range r.ids {
		m := r.members[id]
		known[m.Address] = m.Status < Dead
		if m.Status == Dead {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		actions = append(actions, r.send(dead[r.rng.IntN(len(dead))], r.heartbeatRequest(now)))
	}
	for _, address := range r.cfg.Seeds {
		if !known[address] && address != r.self.Address {
			h := r.heartbeatRequest(now)
			h.From = r.self
			actions = append(actions, Send{Address: address, Heartbeat: h})
		}
	}
	return actions
}

// stop informs some routers that this one has left and deletes its row.
func (r *Registrar) stop() []Action {
	r.stopped = true
	r.self.Status = Left
	actions := r.sendRandom(Heartbeat{}, 2*gossipFanout, "")
	return append(actions, WriteRow{Op: r.platform.deletion(r.self.Router)})
}

// add adds a new member.
func (r *Registrar) add(now time.Time, newMember Member) {
	r.members[newMember.Router] = &member{Member: newMember, statusSince: now, sendsLeft: updateSends}
	i, _ := slices.BinarySearch(r.ids, newMember.Router)
	r.ids = slices.Insert(r.ids, i, newMember.Router)
	r.heartbeatQueue = slices.Insert(r.heartbeatQueue, r.rng.IntN(len(r.heartbeatQueue)+1), newMember.Router)
	r.changed = true
}

// removeGone removes the members that need not be counted any more.
func (r *Registrar) removeGone(now time.Time) {
	r.ids = slices.DeleteFunc(r.ids, func(id messenger.RouterID) bool {
		m := r.members[id]
		if m.Status < Dead || !r.canRemove(now, m) {
			return false
		}
		delete(r.members, id)
		return true
	})
}
