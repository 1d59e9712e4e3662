package router

import (
	"time"

	"lentilwood.example/lentilwood/internal/coordinator"
	"lentilwood.example/lentilwood/internal/exchanger"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/quarantiner"
	"lentilwood.example/lentilwood/internal/registrar"
)

// envelope is a message between routers. It is encoded as an array, so the order of the fields
// is part of the wire format.
type envelope struct {
	_ struct{} `codec:",toarray"`
	// Incarnation is the sender's incarnation.
	Incarnation uint64
	// Fleet carries membership, configuration and leaving upstreams.
	Fleet *coordinator.Message
	// Requests are messages between the schedulers.
	Requests []messenger.PeerMessage
	// EvidenceChecksum is the checksum of the sender's evidence on quarantined prompt parts,
	// Evidence that evidence if the receiver may lack some of it.
	EvidenceChecksum uint64
	Evidence         *quarantiner.Message
}

// peerEnvelope is an envelope with its sender, queued for the control goroutine.
type peerEnvelope struct {
	from     messenger.RouterID
	envelope envelope
}

// peerVersion is the configuration version that another router last reported.
type peerVersion struct {
	domain     string
	version    uint64
	receivedAt time.Time
}

// receive queues an envelope from another router for the control goroutine.
func (r *Router) receive(from string, e envelope) {
	r.control.submit(peerEnvelope{from: messenger.RouterID(from), envelope: e})
}

// handlePeerEnvelope handles an envelope from another router. It runs on the control
// goroutine.
func (r *Router) handlePeerEnvelope(m peerEnvelope) {
	if fleet := m.envelope.Fleet; fleet != nil {
		r.handleFleetEvent(coordinator.Receive{Message: *fleet})
		r.setMembersKnown()
		r.peerVersions[m.from] = peerVersion{
			domain: fleet.Heartbeat.From.Domain, version: fleet.Version, receivedAt: r.clock.Now(),
		}
	}
	if !r.coordinator.IsCurrent(registrar.Member{Router: m.from, Incarnation: m.envelope.Incarnation}) {
		r.meter.Counter("lentilwood_stale_peer_messages_total").Inc()
		return
	}
	r.receiveEvidence(m)
	for _, message := range m.envelope.Requests {
		r.control.handle(messenger.Receive{From: m.from, Message: message})
	}
}

// sendEnvelope sends an envelope to the router at an address. It ignores errors, because the
// coordinator and the scheduler repeat lost messages.
func (r *Router) sendEnvelope(address string, e envelope) {
	e.Incarnation = r.incarnation
	e.EvidenceChecksum = r.quarantine.checksum()
	_ = r.exchanger.Send(address, e)
}

// sendSchedulerMessages sends the scheduler's messages to another router, in one envelope.
func (r *Router) sendSchedulerMessages(to messenger.RouterID, messages []messenger.PeerMessage) {
	address, ok := r.coordinator.Address(to)
	if !ok {
		r.meter.Counter("lentilwood_unaddressed_peer_messages_total").Add(len(messages))
		return
	}
	r.sendEnvelope(address, envelope{Requests: messages})
}

// startPeerListener opens the listener for other routers.
func (r *Router) startPeerListener() error {
	key, err := r.settings.ReadPeerKey()
	if err != nil {
		return err
	}
	tlsConfig, err := r.settings.Listeners.Peers.TLS.Config()
	if err != nil {
		return err
	}
	r.exchanger = exchanger.New(exchanger.Config[envelope]{
		Name: string(r.self), Address: r.settings.Listeners.Peers.Address, Key: key, TLS: tlsConfig,
		Handler: r.receive, Dial: r.dialPeer, Clock: r.clock, Log: r.log,
	})
	return r.exchanger.Start()
}
