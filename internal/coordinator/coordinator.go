// Package coordinator joins membership, configuration and drains into one
// piece of decision logic: the messages of all three travel on the registrar's
// heartbeats, and each is fed with what the others find out.
//
// # Usage
//
// A router feeds a Coordinator these events and carries out its actions, which
// are those of the joined packages:
//
//	c := coordinator.New(coordinator.Config{Self: self, Seeds: seeds, Seed: seed})
//	for _, a := range c.Handle(clock.Now(), coordinator.Tick{}) {
//		switch a := a.(type) {
//		case coordinator.Send:       // pass a.Message to a.Address, where it is a Receive
//		case coordinator.ReadTable:  // configurer.Fetch on another goroutine, then TableRead
//		case coordinator.ReadRows:   // store.Scan(ctx, registrar.Table, a.Since, ...), then RowsRead
//		case coordinator.WriteRow:   // store.Commit, then RowWritten
//		case coordinator.ReadVMs:    // store.VMs, then VMsRead
//		case coordinator.ApplyConfiguration: // the policy, leaving upstreams marked, and its document
//		case coordinator.PeersChange:      // messenger.PeersChange{Routers: a.Live}
//		case coordinator.ReadyChange:      // the readiness check
//		case coordinator.UpdateRejected:   // log it
//		}
//	}
package coordinator

import (
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/drainer"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/registrar"
)

// TickInterval is the longest time between two Ticks.
const TickInterval = 100 * time.Millisecond

// Config are the settings of a Coordinator.
type Config struct {
	// Self is this router.
	Self registrar.Member
	// Seeds are the addresses of other routers, from the settings.
	Seeds []string
	// Seed makes all random choices the same on every run.
	Seed uint64
}

// Coordinator is the joined decision logic. It is not safe for concurrent use.
type Coordinator struct {
	self       messenger.RouterID
	registrar  *registrar.Registrar
	configurer *configurer.Configurer
	drainer    *drainer.Drainer

	known   int
	started time.Time
	inForce configurer.PutInForce
}

// New returns a Coordinator of a router that has just started.
func New(cfg Config) *Coordinator {
	return &Coordinator{
		self:       cfg.Self.Router,
		registrar:  registrar.New(registrar.Config{Self: cfg.Self, Seeds: cfg.Seeds, Seed: cfg.Seed}),
		configurer: configurer.New(configurer.Config{Self: cfg.Self.Router, Domain: cfg.Self.Domain, Seed: cfg.Seed}),
		drainer:    drainer.New(),
		known:      1,
	}
}

// Configurer returns the part that holds the configuration, to be read only.
func (c *Coordinator) Configurer() *configurer.Configurer { return c.configurer }

// IsCurrent reports whether a statement comes from a router's newest start.
func (c *Coordinator) IsCurrent(from registrar.Member) bool { return c.registrar.Current(from) }

// HasRestarted reports whether a router is known to have started again since an
// incarnation.
func (c *Coordinator) HasRestarted(id messenger.RouterID, incarnation uint64) bool {
	return c.registrar.Replaced(id, incarnation)
}

// Address returns the address of another router.
func (c *Coordinator) Address(id messenger.RouterID) (string, bool) {
	return c.registrar.Address(id)
}

// Handle takes one event and returns what is to be done.
func (c *Coordinator) Handle(now time.Time, e Event) []Action {
	if c.started.IsZero() {
		c.started = now
	}
	switch e := e.(type) {
	case Tick:
		return append(c.register(now, registrar.Tick{}), c.configure(now, configurer.Tick{})...)
	case Receive:
		return c.receive(now, e.Message)
	case TableRead:
		return c.configure(now, e)
	case Accepted:
		return c.configure(now, e)
	case RowsRead:
		return c.register(now, e)
	case RowWritten:
		return c.register(now, e)
	case Leave:
		return c.register(now, e)
	case Stop:
		return c.register(now, e)
	case VMsRead:
		return append(c.register(now, e), c.listed(now, e)...)
	case QueryVersion:
		return c.direct(now, e.Router, Message{Heartbeat: registrar.Heartbeat{ReplyRequested: true, SentUnixMs: now.UnixMilli()}})
	case LoadReport:
		return c.drained(now, c.drainer.ReceiveLoadReport(now, e.Upstream, e.Leaving))
	}
	return nil
}

// receive takes a message of another router apart.
func (c *Coordinator) receive(now time.Time, m Message) []Action {
	from := m.Heartbeat.From
	if from.Router == c.self {
		return c.register(now, registrar.Receive{Heartbeat: m.Heartbeat})
	}
	actions := c.register(now, registrar.Receive{Heartbeat: m.Heartbeat})
	if !c.registrar.Current(from) {
		return actions
	}
	actions = append(actions, c.configure(now, versionOf(now, c.started, m))...)
	if m.UpdateRequest != nil {
		actions = append(actions, c.configure(now, configurer.PeerAsk{Router: from.Router, Since: m.UpdateRequest.Since})...)
	}
	if m.Update != nil {
		actions = append(actions, c.configure(now, configurer.PeerAnswer{Router: from.Router, Update: *m.Update})...)
	}
	return append(actions, c.drained(now, c.drainer.Receive(m.DrainUpdates, m.DrainChecksum))...)
}

// versionOf reads what a message says of the configuration. How old the
// message is at most is known only of answers.
func versionOf(now, started time.Time, m Message) configurer.PeerVersion {
	age := time.Duration(m.VersionAgeMS) * time.Millisecond
	if m.Heartbeat.EchoUnixMs != 0 {
		age += now.Sub(time.UnixMilli(m.Heartbeat.EchoUnixMs))
	}
	return configurer.PeerVersion{
		Router: m.Heartbeat.From.Router, Incarnation: m.Heartbeat.From.Incarnation,
		Version: m.Version, Settled: m.Confirmed, Known: int(m.KnownRouters),
		Answers: m.Heartbeat.EchoUnixMs != 0 && m.Heartbeat.EchoUnixMs >= started.UnixMilli(),
		Age:     age, Unconfirmed: m.AgeUnknown || m.Heartbeat.EchoUnixMs == 0,
	}
}

// register feeds the registrar and translates its actions.
func (c *Coordinator) register(now time.Time, e registrar.Event) []Action {
	var actions []Action
	for _, a := range c.registrar.Handle(now, e) {
		switch a := a.(type) {
		case registrar.Send:
			actions = append(actions, Send{Address: a.Address, Message: c.message(now, a.Heartbeat)})
		case registrar.PeersChange:
			c.known = a.KnownCount
			actions = append(actions, PeersChange{PeersChange: a})
			actions = append(actions, c.configure(now, configurer.Peers{Live: a.Reachable, Known: a.KnownCount})...)
		case registrar.ReadRows:
			actions = append(actions, ReadRows{a})
		case registrar.WriteRow:
			actions = append(actions, WriteRow{a})
		case registrar.ReadVMs:
			actions = append(actions, ReadVMs{a})
		}
	}
	return actions
}

// configure feeds the configurer and translates its actions.
func (c *Coordinator) configure(now time.Time, e configurer.Event) []Action {
	var actions []Action
	for _, a := range c.configurer.Handle(now, e) {
		switch a := a.(type) {
		case configurer.ReadTable:
			actions = append(actions, ReadTable{a})
		case configurer.AskPeer:
			actions = append(actions, c.direct(now, a.Router, Message{UpdateRequest: &UpdateRequest{Since: a.Since}})...)
		case configurer.AnswerPeer:
			actions = append(actions, c.direct(now, a.Router, Message{Update: &a.Update})...)
		case configurer.PutInForce:
			c.inForce = a
			c.drainer.SetUpstreams(a.Policy.Upstreams)
			actions = append(actions, c.putInForce())
		case configurer.Announce:
			actions = append(actions, c.register(now, registrar.GossipNow{})...)
		case configurer.ReadyChange:
			actions = append(actions, ReadyChange{a})
		case configurer.Rejected:
			actions = append(actions, UpdateRejected{a})
		}
	}
	return actions
}

// direct sends a message that is no heartbeat of the registrar's.
func (c *Coordinator) direct(now time.Time, to messenger.RouterID, m Message) []Action {
	address, ok := c.registrar.Address(to)
	if !ok {
		return nil
	}
	m.Heartbeat.From = c.registrar.Self()
	full := c.message(now, m.Heartbeat)
	full.UpdateRequest, full.Update = m.UpdateRequest, m.Update
	return []Action{Send{Address: address, Message: full}}
}

// message fills in what heartbeats carry for the other parts.
func (c *Coordinator) message(now time.Time, h registrar.Heartbeat) Message {
	age, ok := c.configurer.Age(now)
	return Message{
		Heartbeat: h,
		Version:   c.configurer.Version(), Confirmed: c.configurer.Settled(),
		VersionAgeMS: uint32(min(age.Milliseconds(), maxAgeMS)), AgeUnknown: !ok,
		KnownRouters: uint32(c.known),
		DrainUpdates: c.drainer.NextUpdates(), DrainChecksum: c.drainer.Checksum(),
	}
}

func (c *Coordinator) listed(now time.Time, e VMsRead) []Action {
	if e.Err != nil {
		return nil
	}
	return c.drained(now, c.drainer.ReceiveVMList(now, e.VMs))
}

// drained puts a change of leaving upstreams in force and passes it on.
func (c *Coordinator) drained(now time.Time, changed bool) []Action {
	if !changed {
		return nil
	}
	actions := c.register(now, registrar.GossipNow{})
	if c.inForce.Policy == nil {
		return actions
	}
	return append(actions, c.putInForce())
}

func (c *Coordinator) putInForce() Action {
	return ApplyConfiguration{Document: c.inForce.Document, Policy: c.drainer.Overlay(c.inForce.Policy)}
}
