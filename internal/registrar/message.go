package registrar

import (
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// Status is the state of a member. Among updates with the same incarnation and refutation the
// higher status wins.
type Status uint8

// The statuses of a member.
const (
	// Alive members answer heartbeats.
	Alive Status = iota
	// Suspect members answered neither this router nor the routers that probed them for it.
	Suspect
	// Dead members did not refute the suspicion in time.
	Dead
	// Left members announced that they left the fleet.
	Left
)

// Member is one router as described to other routers.
type Member struct {
	_       struct{} `codec:",toarray"`
	Router  messenger.RouterID
	Address string
	Domain  string
	// Incarnation grows with every start of the router.
	Incarnation uint64
	// Refutation grows when the router refutes a suspicion.
	Refutation uint32
	Status     Status
	// Leaving is true once the router takes on no more roles.
	Leaving bool
}

// Heartbeat is the message between registrars. It is encoded as an array, so the order of the
// fields is part of the format between routers.
type Heartbeat struct {
	_    struct{} `codec:",toarray"`
	From Member
	// ReplyRequested asks the receiver to send a heartbeat back.
	ReplyRequested bool
	// SentUnixMs is the sender's clock in Unix milliseconds, on heartbeats that request a
	// reply. EchoUnixMs is SentUnixMs of the heartbeat that this one answers, or 0. It tells
	// the requester the maximum age of the reply without synchronized clocks.
	SentUnixMs, EchoUnixMs int64
	// ProbeTarget asks the receiver to probe this router and to report the result.
	ProbeTarget messenger.RouterID
	// Responsive and Unresponsive report the result of a probe.
	Responsive   messenger.RouterID
	Unresponsive messenger.RouterID
	// Updates are the sender's states of other members.
	Updates []Member
}

// Event is an input to a Registrar.
type Event interface{ isEvent() }

// Tick signals that time has passed; send one at least every TickInterval.
type Tick struct{}

// Receive is the arrival of a heartbeat from another router.
type Receive struct{ Heartbeat Heartbeat }

// RowsRead is the result of a ReadRows.
type RowsRead struct {
	Rows []storer.Row
	Err  error
}

// RowWritten is the result of a WriteRow.
type RowWritten struct {
	Op  storer.Op
	Err error
}

// VMsRead is the result of a ReadVMs.
type VMsRead struct {
	VMs []storer.VM
	Err error
}

// GossipNow asks for heartbeats to some routers at once, to spread pending updates.
type GossipNow struct{}

// Leave signals that this router is shutting down and takes on no more roles.
type Leave struct{}

// Stop signals that this router is about to exit.
type Stop struct{}

func (Tick) isEvent()       {}
func (Receive) isEvent()    {}
func (RowsRead) isEvent()   {}
func (RowWritten) isEvent() {}
func (VMsRead) isEvent()    {}
func (GossipNow) isEvent()  {}
func (Leave) isEvent()      {}
func (Stop) isEvent()       {}

// Action is an operation that the caller of a Registrar has to carry out.
type Action interface{ isAction() }

// Send sends a heartbeat to a router.
type Send struct {
	Address   string
	Heartbeat Heartbeat
}

// ReadRows reads the rows of Table that changed after version Since.
type ReadRows struct{ Since uint64 }

// WriteRow writes or deletes one row.
type WriteRow struct{ Op storer.Op }

// ReadVMs reads the platform's list of VMs.
type ReadVMs struct{}

// PeersChange reports that the fleet has changed.
type PeersChange struct {
	// Live lists the routers that take part in the fleet, this one included, except those
	// known to be gone. Roles are distributed over them.
	Live []messenger.RouterID
	// Reachable lists the other routers that are alive or suspect, by the heartbeats that this
	// router or its peers received. It is empty while this router is cut off.
	Reachable []messenger.RouterID
	// KnownCount is the number of known routers, this one included.
	KnownCount int
}

func (Send) isAction()        {}
func (ReadRows) isAction()    {}
func (WriteRow) isAction()    {}
func (ReadVMs) isAction()     {}
func (PeersChange) isAction() {}
