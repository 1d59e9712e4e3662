package registrar

import (
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// Status is what is thought of a member. The higher wins among statements
// about the same incarnation and refutation.
type Status uint8

// The statuses.
const (
	// Alive members answer.
	Alive Status = iota
	// Suspect members answered neither this router nor others it asked.
	Suspect
	// Dead members did not refute the suspicion in time.
	Dead
	// Left members said that they leave the fleet.
	Left
)

// Member is one router as others are told of it.
type Member struct {
	_       struct{} `codec:",toarray"`
	Router  messenger.RouterID
	Address string
	Domain  string
	// Incarnation grows with every start of the router.
	Incarnation uint64
	// Refutation grows when the router contradicts a suspicion.
	Refutation uint32
	Status     Status
	// Leaving is true once the router takes on no more roles.
	Leaving bool
}

// Heartbeat is the message between registrars. Codecs write it as an array, so
// the order of the fields is part of the format between routers.
type Heartbeat struct {
	_    struct{} `codec:",toarray"`
	From Member
	// ReplyRequested wants a heartbeat back.
	ReplyRequested bool
	// SentUnixMs is the sender's clock in milliseconds, on heartbeats that ask. EchoUnixMs
	// is SentUnixMs of the heartbeat that this one answers, or 0: so the asker knows
	// how old the answer is at most, without clocks that agree.
	SentUnixMs, EchoUnixMs int64
	// ProbeTarget wants the receiver to ask this router and to say how it went.
	ProbeTarget messenger.RouterID
	// Responsive and Silent answer a Probe.
	Responsive   messenger.RouterID
	Unresponsive messenger.RouterID
	// Updates are statements about other members.
	Updates []Member
}

// Event is one thing told to a Registrar.
type Event interface{ isEvent() }

// Tick says that time has passed; feed one at least every TickInterval.
type Tick struct{}

// Receive is a heartbeat from another router.
type Receive struct{ Heartbeat Heartbeat }

// RowsRead answers a ReadRows.
type RowsRead struct {
	Rows []storer.Row
	Err  error
}

// RowWritten answers a WriteRow.
type RowWritten struct {
	Op  storer.Op
	Err error
}

// VMsRead answers a ReadVMs.
type VMsRead struct {
	VMs []storer.VM
	Err error
}

// GossipNow asks for heartbeats to some routers at once, to carry news.
type GossipNow struct{}

// Leave says that this router is shutting down and takes on no more roles.
type Leave struct{}

// Stop says that this router is about to exit.
type Stop struct{}

func (Tick) isEvent()       {}
func (Receive) isEvent()    {}
func (RowsRead) isEvent()   {}
func (RowWritten) isEvent() {}
func (VMsRead) isEvent()    {}
func (GossipNow) isEvent()  {}
func (Leave) isEvent()      {}
func (Stop) isEvent()       {}

// Action is one thing a Registrar wants done.
type Action interface{ isAction() }

// Send passes a heartbeat to a router.
type Send struct {
	Address   string
	Heartbeat Heartbeat
}

// ReadRows asks for the rows of Table that changed after Since.
type ReadRows struct{ Since uint64 }

// WriteRow asks for one row to be written or deleted.
type WriteRow struct{ Op storer.Op }

// ReadVMs asks for the platform's list of VMs.
type ReadVMs struct{}

// PeersChange says that the fleet has changed.
type PeersChange struct {
	// Live are the routers that take part, self included: those of which it
	// is not certain that they are gone. Roles are spread over them.
	Live []messenger.RouterID
	// Reachable are the other routers that are heard of, by this router or by
	// others that it hears.
	Reachable []messenger.RouterID
	// KnownCount is how many routers there are, self included.
	KnownCount int
}

func (Send) isAction()        {}
func (ReadRows) isAction()    {}
func (WriteRow) isAction()    {}
func (ReadVMs) isAction()     {}
func (PeersChange) isAction() {}
