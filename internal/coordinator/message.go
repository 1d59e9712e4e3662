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
	// Confirmed is true if the version was confirmed since the sender started.
	Confirmed bool
	// VersionAgeMS is how long ago a router saw in the table that Version is the
	// newest, unless Unconfirmed.
	VersionAgeMS uint32
	AgeUnknown   bool
	// KnownRouters is how many routers the sender knows of.
	KnownRouters uint32
	// DrainUpdates are upstreams that leave or stay after all; DrainChecksum is the
	// checksum of all that the sender holds.
	DrainUpdates  []drainer.Update
	DrainChecksum uint64
	// UpdateRequest wants the revisions after a version.
	UpdateRequest *UpdateRequest
	// Update brings them.
	Update *configurer.Update
}

// UpdateRequest wants the revisions after Since.
type UpdateRequest struct {
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
	// QueryVersion asks a router for its version.
	QueryVersion struct{ Router messenger.RouterID }
	// LoadReport is what an upstream's load report says of leaving.
	LoadReport struct {
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
	// ApplyConfiguration replaces the policy and the document.
	ApplyConfiguration struct {
		Document *configurer.Document
		Policy   *messenger.Policy
	}
	// PeersChange says that the fleet has changed.
	PeersChange struct{ registrar.PeersChange }
	// UpdateRejected says that an update of the configuration could not be applied.
	UpdateRejected struct{ configurer.Rejected }
	// ReadyChange says whether the balancer may send callers here.
	ReadyChange struct{ configurer.ReadyChange }
)

func (Send) isAction()               {}
func (ReadTable) isAction()          {}
func (ReadRows) isAction()           {}
func (WriteRow) isAction()           {}
func (ReadVMs) isAction()            {}
func (ApplyConfiguration) isAction() {}
func (PeersChange) isAction()        {}
func (ReadyChange) isAction()        {}
func (UpdateRejected) isAction()     {}
