// Package registrar decides which routers belong to the fleet and which of
// them are alive.
//
// Each router sends a heartbeat to a few others every second, in the order of
// a seeded shuffle, so that the load of a router does not grow with the fleet.
// Heartbeats carry news of other members. A router that does not answer is
// asked by way of others; only if those report silence as well is it suspected
// aloud, and it may refute that. Until then the suspicion is local: a router
// that is itself cut off hears no such report and declares nobody dead.
//
// Rows in the platform's table, renewed rarely, let routers find one another
// and confirm who is gone, as does the platform's list of VMs. Members that
// are dead by heartbeats alone keep their roles as long as this router does
// not reach most of the fleet, so that the smaller side of a cut takes over
// nothing.
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
//		case registrar.PeersChange: // tell the scheduler and the configurer
//		}
//	}
package registrar

import (
	"math/rand/v2"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Times and bounds of a Registrar.
const (
	// TickInterval is the longest time between two Ticks.
	TickInterval = 100 * time.Millisecond
	// heartbeatInterval is the time between two rounds of heartbeats.
	heartbeatInterval = time.Second
	// rushInterval is the shortest time between two rushes.
	rushInterval = 100 * time.Millisecond
	// fanout is how many routers get a heartbeat in a round.
	fanout = 2
	// rushFanout is how many get one in a rush.
	rushFanout = 3
	// askTimeout is when a router that was asked is asked by way of others.
	askTimeout = 700 * time.Millisecond
	// probeTimeout is when an asked router counts as silent.
	probeTimeout = 2 * time.Second
	// helpers is how many others are asked to probe a silent router.
	helpers = 3
	// suspicionTime is how long a suspected router has to refute it.
	suspicionTime = 4 * time.Second
	// cutTimeout is after how long without any answer a router takes itself
	// to be cut off.
	cutTimeout = 4 * time.Second
	// freezeTime is the time between two events that counts as a pause of
	// this process; timers are moved on by it.
	freezeTime = 2 * time.Second
	// forgetTime is when a dead router of which the platform says nothing is
	// no longer counted.
	forgetTime = 5 * time.Minute
	// knockInterval is the time between heartbeats to dead routers and seeds.
	knockInterval = 5 * time.Second
	// newsPerHeartbeat bounds the news in one heartbeat.
	newsPerHeartbeat = 4
	// newsRepeats is how often each piece of news is sent on.
	newsRepeats = 8
)

// Config are the settings of a Registrar.
type Config struct {
	// Self is this router. Its incarnation must be higher than before the
	// last restart; the time of the start will do.
	Self Member
	// Seeds are addresses of other routers, from the settings.
	Seeds []string
	// Seed makes the shuffles and the jitter the same on every run.
	Seed uint64
}

// Registrar is the decision logic of membership. It does no I/O and is not
// safe for concurrent use.
type Registrar struct {
	cfg     Config
	rng     *rand.Rand
	self    Member
	members map[messenger.RouterID]*member
	// ids are the keys of members, sorted.
	ids  []messenger.RouterID
	ring []messenger.RouterID

	last      time.Time
	nextRound time.Time
	nextKnock time.Time
	lastRush  time.Time
	started   time.Time
	answered  time.Time
	rush      bool

	probes   []probe
	platform platform
	told     PeersChange
	// changed is true if the view of the fleet may have changed.
	changed bool
	gone    bool
}

// member is one other router and what is remembered of it.
type member struct {
	Member
	// heard is when it last sent something itself.
	heard time.Time
	// asked is when it was asked and has not answered since.
	asked time.Time
	// probed is true once others were asked to probe it.
	probed bool
	// silent is true if one of them reported silence.
	silent bool
	// since is when its status last changed.
	since time.Time
	// left is how often its status is still to be sent on.
	left int
}

// New returns a Registrar that knows only itself and its seeds.
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

// Self returns this router as others are told of it.
func (r *Registrar) Self() Member { return r.self }

// Current reports whether a statement comes from a router's newest start, so
// that messages of an earlier one, delivered late, can be dropped.
func (r *Registrar) Current(from Member) bool {
	m, ok := r.members[from.Router]
	return ok && m.Incarnation == from.Incarnation
}

// Replaced reports whether a router is known to have started again since an
// incarnation.
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

// Handle takes one event and returns what is to be done.
func (r *Registrar) Handle(now time.Time, e Event) []Action {
	if r.gone {
		return nil
	}
	r.begin(now)
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
		r.rush = true
	case Leave:
		r.self.Leaving = true
		r.rush = true
	case Stop:
		return r.stop()
	}
	actions = append(actions, r.rushNews(now)...)
	return append(actions, r.report(now)...)
}

// begin moves the timers on if the process was paused, so that a router that
// was frozen does not take all the others for dead.
func (r *Registrar) begin(now time.Time) {
	if r.last.IsZero() {
		r.started, r.answered = now, now
	} else if gap := now.Sub(r.last); gap > freezeTime {
		r.shift(gap)
	}
	r.last = now
}

func (r *Registrar) shift(gap time.Duration) {
	r.answered = r.answered.Add(gap)
	for _, m := range r.members {
		m.since = m.since.Add(gap)
		m.heard = m.heard.Add(gap)
		m.asked = time.Time{}
	}
	r.probes = nil
}

// tick does what is due.
func (r *Registrar) tick(now time.Time) []Action {
	r.judge(now)
	actions := r.askHelpers(now)
	if !now.Before(r.nextRound) {
		r.nextRound = now.Add(heartbeatInterval)
		actions = append(actions, r.round(now)...)
	}
	if !now.Before(r.nextKnock) {
		r.nextKnock = now.Add(knockInterval)
		actions = append(actions, r.knock(now)...)
	}
	return append(actions, r.platformDue(now)...)
}

// round asks the next routers of the shuffle.
func (r *Registrar) round(now time.Time) []Action {
	var actions []Action
	for range min(fanout, len(r.reachable())) {
		id, ok := r.next()
		if !ok {
			break
		}
		m := r.members[id]
		if m.asked.IsZero() {
			m.asked, m.probed, m.silent = now, false, false
		}
		actions = append(actions, r.send(m, r.ask(now)))
	}
	return actions
}

// ask returns a heartbeat that wants an answer.
func (r *Registrar) ask(now time.Time) Heartbeat {
	return Heartbeat{ReplyRequested: true, SentUnixMs: now.UnixMilli()}
}

// next returns the next router of the shuffle and shuffles anew at its end, so
// that every router is asked within a bounded time.
func (r *Registrar) next() (messenger.RouterID, bool) {
	for range 2 {
		for len(r.ring) > 0 {
			id := r.ring[0]
			r.ring = r.ring[1:]
			if m, ok := r.members[id]; ok && m.Status < Dead {
				return id, true
			}
		}
		r.ring = r.reachable()
		r.rng.Shuffle(len(r.ring), func(i, j int) { r.ring[i], r.ring[j] = r.ring[j], r.ring[i] })
	}
	return "", false
}

// reachable returns the members that are not dead, sorted.
func (r *Registrar) reachable() []messenger.RouterID {
	var ids []messenger.RouterID
	for _, id := range r.ids {
		if r.members[id].Status < Dead {
			ids = append(ids, id)
		}
	}
	return ids
}

// rushNews sends heartbeats to some routers without waiting for the round.
func (r *Registrar) rushNews(now time.Time) []Action {
	if !r.rush || now.Sub(r.lastRush) < rushInterval {
		return nil
	}
	r.rush, r.lastRush = false, now
	return r.sendSome(Heartbeat{}, rushFanout, "")
}

// sendSome sends a heartbeat to up to n routers drawn at random, except one.
func (r *Registrar) sendSome(h Heartbeat, n int, except messenger.RouterID) []Action {
	ids := r.reachable()
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

// knock sends a heartbeat to one dead router, which may be back or behind a
// cut, and to the seeds that are not known to be alive.
func (r *Registrar) knock(now time.Time) []Action {
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
		actions = append(actions, r.send(dead[r.rng.IntN(len(dead))], r.ask(now)))
	}
	for _, address := range r.cfg.Seeds {
		if !known[address] && address != r.self.Address {
			h := r.ask(now)
			h.From = r.self
			actions = append(actions, Send{Address: address, Heartbeat: h})
		}
	}
	return actions
}

// stop tells some routers that this one is gone.
func (r *Registrar) stop() []Action {
	r.gone = true
	r.self.Status = Left
	actions := r.sendSome(Heartbeat{}, 2*rushFanout, "")
	return append(actions, WriteRow{Op: r.platform.deletion(r.self.Router)})
}

// add takes in a member that was not known.
func (r *Registrar) add(now time.Time, n Member) {
	r.members[n.Router] = &member{Member: n, since: now, left: newsRepeats}
	i, _ := slices.BinarySearch(r.ids, n.Router)
	r.ids = slices.Insert(r.ids, i, n.Router)
	r.ring = slices.Insert(r.ring, r.rng.IntN(len(r.ring)+1), n.Router)
	r.changed = true
}

// forget drops the members that need not be counted any more.
func (r *Registrar) forget(now time.Time) {
	r.ids = slices.DeleteFunc(r.ids, func(id messenger.RouterID) bool {
		m := r.members[id]
		if m.Status < Dead || !r.forgettable(now, m) {
			return false
		}
		delete(r.members, id)
		return true
	})
}
