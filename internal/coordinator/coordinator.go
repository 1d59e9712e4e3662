// Package coordinator combines fleet membership (registrar), configuration
// (configurer) and drains (drainer) into one state machine. The messages of all
// three are sent with the registrar's heartbeats, and state changes in one are
// passed to the others: membership to the configurer, configured upstreams to
// the drainer, and new versions and drains to the registrar, which sends
// heartbeats at once.
//
// # Usage
//
// A router passes events to Handle and executes the actions that it returns.
// Most events and actions are those of the three packages:
//
//	c := coordinator.New(coordinator.Config{Self: self, Seeds: seeds, Seed: seed})
//	for _, a := range c.Handle(clock.Now(), coordinator.Tick{}) {
//		switch a := a.(type) {
//		case coordinator.Send:               // send a.Message to a.Address, which handles it as Receive
//		case coordinator.ReadTable:          // configurer.Fetch on another goroutine; result as TableRead
//		case coordinator.ReadRows:           // store.Scan(ctx, registrar.Table, a.Since, ...); result as RowsRead
//		case coordinator.WriteRow:           // store.Commit; result as RowWritten
//		case coordinator.ReadVMs:            // store.VMs; result as VMsRead
//		case coordinator.ApplyConfiguration: // use a.Policy, with leaving upstreams marked, and a.Document
//		case coordinator.PeersChange:        // pass messenger.PeersChange{Routers: a.Live} to the scheduler
//		case coordinator.ReadyChange:        // update the readiness check
//		case coordinator.UpdateRejected:     // log it
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

// TickInterval is the maximum time between two Tick events.
const TickInterval = 100 * time.Millisecond

// Config are the settings of a Coordinator.
type Config struct {
	// Self identifies this router.
	Self registrar.Member
	// Seeds are the addresses of other routers, as configured in the settings.
	Seeds []string
	// Seed initializes the random number generators, so that runs are reproducible.
	Seed uint64
}

// Coordinator runs the registrar, the configurer and the drainer of a router.
// It is not safe for concurrent use.
type Coordinator struct {
	self       messenger.RouterID
	registrar  *registrar.Registrar
	configurer *configurer.Configurer
	drainer    *drainer.Drainer

	knownRouters int
	startTime    time.Time
	// lastApplied is the configuration in use, before leaving upstreams are marked.
	lastApplied configurer.ApplyConfiguration
}

// New returns a Coordinator for a router that has just started.
func New(cfg Config) *Coordinator {
	return &Coordinator{
		self:         cfg.Self.Router,
		registrar:    registrar.New(registrar.Config{Self: cfg.Self, Seeds: cfg.Seeds, Seed: cfg.Seed}),
		configurer:   configurer.New(configurer.Config{Self: cfg.Self.Router, Domain: cfg.Self.Domain, Seed: cfg.Seed}),
		drainer:      drainer.New(),
		knownRouters: 1,
	}
}

// Configurer returns the configurer. Callers must not pass events to it.
func (c *Coordinator) Configurer() *configurer.Configurer { return c.configurer }

// IsCurrent reports whether from is the latest known incarnation of its router.
// This lets callers drop late messages of earlier incarnations.
func (c *Coordinator) IsCurrent(from registrar.Member) bool { return c.registrar.Current(from) }

// HasRestarted reports whether the router is known to have restarted since the
// given incarnation.
func (c *Coordinator) HasRestarted(id messenger.RouterID, incarnation uint64) bool {
	return c.registrar.Replaced(id, incarnation)
}

// Address returns the address of another router.
func (c *Coordinator) Address(id messenger.RouterID) (string, bool) {
	return c.registrar.Address(id)
}

// Handle processes one event and returns the actions to execute.
func (c *Coordinator) Handle(now time.Time, e Event) []Action {
	if c.startTime.IsZero() {
		c.startTime = now
	}
	switch e := e.(type) {
	case Tick:
		return append(c.handleRegistrar(now, registrar.Tick{}), c.handleConfigurer(now, configurer.Tick{})...)
	case Receive:
		return c.receive(now, e.Message)
	case TableRead:
		return c.handleConfigurer(now, e)
	case Accepted:
		return c.handleConfigurer(now, e)
	case RowsRead:
		return c.handleRegistrar(now, e)
	case RowWritten:
		return c.handleRegistrar(now, e)
	case Leave:
		return c.handleRegistrar(now, e)
	case Stop:
		return c.handleRegistrar(now, e)
	case VMsRead:
		return append(c.handleRegistrar(now, e), c.handleVMList(now, e)...)
	case QueryVersion:
		return c.sendTo(now, e.Router, Message{Heartbeat: registrar.Heartbeat{ReplyRequested: true, SentUnixMs: now.UnixMilli()}})
	case LoadReport:
		return c.publishDrains(now, c.drainer.ReceiveLoadReport(now, e.Upstream, e.Leaving))
	}
	return nil
}

// receive passes the parts of a peer's message to the registrar, the configurer
// and the drainer. Only the heartbeat is processed if the message comes from
// this router itself or from an outdated incarnation.
func (c *Coordinator) receive(now time.Time, m Message) []Action {
	from := m.Heartbeat.From
	if from.Router == c.self {
		return c.handleRegistrar(now, registrar.Receive{Heartbeat: m.Heartbeat})
	}
	actions := c.handleRegistrar(now, registrar.Receive{Heartbeat: m.Heartbeat})
	if !c.registrar.Current(from) {
		return actions
	}
	actions = append(actions, c.handleConfigurer(now, peerVersion(now, c.startTime, m))...)
	if m.UpdateRequest != nil {
		actions = append(actions, c.handleConfigurer(now, configurer.PeerUpdateRequest{Router: from.Router, Since: m.UpdateRequest.Since})...)
	}
	if m.Update != nil {
		actions = append(actions, c.handleConfigurer(now, configurer.PeerUpdate{Router: from.Router, Update: *m.Update})...)
	}
	return append(actions, c.publishDrains(now, c.drainer.Receive(m.DrainUpdates, m.DrainChecksum))...)
}

// peerVersion returns the configuration version that a message reports. The
// maximum age of a message is known only if it answers a heartbeat, because then
// it cannot be older than that heartbeat.
func peerVersion(now, startTime time.Time, m Message) configurer.PeerVersion {
	age := time.Duration(m.VersionAgeMS) * time.Millisecond
	if m.Heartbeat.EchoUnixMs != 0 {
		age += now.Sub(time.UnixMilli(m.Heartbeat.EchoUnixMs))
	}
	return configurer.PeerVersion{
		Router: m.Heartbeat.From.Router, Incarnation: m.Heartbeat.From.Incarnation,
		Version: m.Version, Confirmed: m.Confirmed, KnownRouters: int(m.KnownRouters),
		IsReply:    m.Heartbeat.EchoUnixMs != 0 && m.Heartbeat.EchoUnixMs >= startTime.UnixMilli(),
		VersionAge: age, AgeUnknown: m.AgeUnknown || m.Heartbeat.EchoUnixMs == 0,
	}
}

// handleRegistrar passes an event to the registrar and converts its actions.
func (c *Coordinator) handleRegistrar(now time.Time, e registrar.Event) []Action {
	var actions []Action
	for _, a := range c.registrar.Handle(now, e) {
		switch a := a.(type) {
		case registrar.Send:
			actions = append(actions, Send{Address: a.Address, Message: c.newMessage(now, a.Heartbeat)})
		case registrar.PeersChange:
			c.knownRouters = a.KnownCount
			actions = append(actions, PeersChange{PeersChange: a})
			actions = append(actions, c.handleConfigurer(now, configurer.PeersChange{Live: a.Reachable, KnownRouters: a.KnownCount})...)
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

// handleConfigurer passes an event to the configurer and converts its actions.
func (c *Coordinator) handleConfigurer(now time.Time, e configurer.Event) []Action {
	var actions []Action
	for _, a := range c.configurer.Handle(now, e) {
		switch a := a.(type) {
		case configurer.ReadTable:
			actions = append(actions, ReadTable{a})
		case configurer.RequestUpdate:
			actions = append(actions, c.sendTo(now, a.Router, Message{UpdateRequest: &UpdateRequest{Since: a.Since}})...)
		case configurer.SendUpdate:
			actions = append(actions, c.sendTo(now, a.Router, Message{Update: &a.Update})...)
		case configurer.ApplyConfiguration:
			c.lastApplied = a
			c.drainer.SetUpstreams(a.Policy.Upstreams)
			actions = append(actions, c.applyConfiguration())
		case configurer.SendHeartbeats:
			actions = append(actions, c.handleRegistrar(now, registrar.GossipNow{})...)
		case configurer.ReadyChange:
			actions = append(actions, ReadyChange{a})
		case configurer.UpdateRejected:
			actions = append(actions, UpdateRejected{a})
		}
	}
	return actions
}

// sendTo sends a message other than the registrar's own heartbeats to one router.
// It does nothing if the router's address is not known.
func (c *Coordinator) sendTo(now time.Time, to messenger.RouterID, m Message) []Action {
	address, ok := c.registrar.Address(to)
	if !ok {
		return nil
	}
	m.Heartbeat.From = c.registrar.Self()
	msg := c.newMessage(now, m.Heartbeat)
	msg.UpdateRequest, msg.Update = m.UpdateRequest, m.Update
	return []Action{Send{Address: address, Message: msg}}
}

// newMessage returns a message with a heartbeat and the current state of the
// configurer and the drainer.
func (c *Coordinator) newMessage(now time.Time, h registrar.Heartbeat) Message {
	age, ok := c.configurer.VersionAge(now)
	return Message{
		Heartbeat: h,
		Version:   c.configurer.Version(), Confirmed: c.configurer.Confirmed(),
		VersionAgeMS: uint32(min(age.Milliseconds(), maxAgeMS)), AgeUnknown: !ok,
		KnownRouters: uint32(c.knownRouters),
		DrainUpdates: c.drainer.NextUpdates(), DrainChecksum: c.drainer.Checksum(),
	}
}

func (c *Coordinator) handleVMList(now time.Time, e VMsRead) []Action {
	if e.Err != nil {
		return nil
	}
	return c.publishDrains(now, c.drainer.ReceiveVMList(now, e.VMs))
}

// publishDrains has the registrar send a change of the leaving upstreams to other
// routers at once, and applies it to the policy. It does nothing if changed is false.
func (c *Coordinator) publishDrains(now time.Time, changed bool) []Action {
	if !changed {
		return nil
	}
	actions := c.handleRegistrar(now, registrar.GossipNow{})
	if c.lastApplied.Policy == nil {
		return actions
	}
	return append(actions, c.applyConfiguration())
}

func (c *Coordinator) applyConfiguration() Action {
	return ApplyConfiguration{Document: c.lastApplied.Document, Policy: c.drainer.Overlay(c.lastApplied.Policy)}
}
