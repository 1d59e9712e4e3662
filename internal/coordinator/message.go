package coordinator

import (
	"math"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/drainer"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/registrar"
)

// maxAgeMS is the highest age that a message can state.
const maxAgeMS = math.MaxUint32

// Message is what one router sends to another. Codecs write it as an array, so
// the order of the fields is part of the format between routers.
type Message struct {
	_         struct{} `codec:",toarray"`
	Heartbeat registrar.Heartbeat
	// Version is the sender's version of the configuration.
	Version uint64
	// Settled is true if the version was confirmed since the sender started.
	Settled bool
	// AgeMS is how long ago a router saw in the table that Version is the
	// newest, unless Unconfirmed.
	AgeMS       uint32
	Unconfirmed bool
	// Known is how many routers the sender knows of.
	Known uint32
	// Drains are upstreams that leave or stay after all; DrainSum is the
	// checksum of all that the sender holds.
	Drains   []drainer.Update
	DrainSum uint64
	// Ask wants the revisions after a version.
	Ask *Ask
	// Answer brings them.
	Answer *configurer.Update
}

// Ask wants the revisions after Since.
type Ask struct {
	_     struct{} `codec:",toarray"`
	Since uint64
}

// Event is one thing told to a Coordinator.
type Event any

// Events of the joined packages.
type (
	// Tick says that time has passed.
	Tick struct{}
	// Receive is a message of another router.
	Receive struct{ Message Message }
	// TableRead answers a ReadTable.
	TableRead = configurer.TableRead
	// Accepted brings a change that an operator made through this router.
	Accepted = configurer.Accepted
	// RowsRead answers a ReadRows.
	RowsRead = registrar.RowsRead
	// RowWritten answers a WriteRow.
	RowWritten = registrar.RowWritten
	// VMsRead answers a ReadVMs.
	VMsRead = registrar.VMsRead
	// Leave says that this router takes on no more roles.
	Leave = registrar.Leave
	// Stop says that this router is about to exit.
	Stop = registrar.Stop
	// Query asks a router for its version.
	Query struct{ Router messenger.RouterID }
	// LoadWord is what an upstream's load report says of leaving.
	LoadWord struct {
		Upstream messenger.UpstreamID
		Leaving  bool
	}
)

// Action is one thing a Coordinator wants done.
type Action interface{ isAction() }

// Actions of the joined packages.
type (
	// Send passes a message to a router.
	Send struct {
		Address string
		Message Message
	}
	// ReadTable asks for configurer.Fetch.
	ReadTable struct{ configurer.ReadTable }
	// ReadRows asks for the rows of the registrar's table.
	ReadRows struct{ registrar.ReadRows }
	// WriteRow asks for a write to the registrar's table.
	WriteRow struct{ registrar.WriteRow }
	// ReadVMs asks for the platform's list.
	ReadVMs struct{ registrar.ReadVMs }
	// PutInForce replaces the policy and the document.
	PutInForce struct {
		Document *configurer.Document
		Policy   *messenger.Policy
	}
	// Peers says that the fleet has changed.
	Peers struct{ registrar.PeersChange }
	// Rejected says that an update of the configuration could not be applied.
	Rejected struct{ configurer.Rejected }
	// Ready says whether the balancer may send callers here.
	Ready struct{ configurer.ReadyChange }
)

func (Send) isAction()       {}
func (ReadTable) isAction()  {}
func (ReadRows) isAction()   {}
func (WriteRow) isAction()   {}
func (ReadVMs) isAction()    {}
func (PutInForce) isAction() {}
func (Peers) isAction()      {}
func (Ready) isAction()      {}
func (Rejected) isAction()   {}
