package coordinator

import (
	"math"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/drainer"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/registrar"
)

// maxAgeMS is the largest value of Message.VersionAgeMS, in milliseconds.
const maxAgeMS = math.MaxUint32

// Message is sent from one router to another. It is encoded as an array, so the
// order of the fields is part of the wire format.
type Message struct {
	_         struct{} `codec:",toarray"`
	Heartbeat registrar.Heartbeat
	// Version is the configuration version that the sender uses.
	Version uint64
	// Confirmed reports whether Version was confirmed since the sender started.
	Confirmed bool
	// VersionAgeMS is the time in milliseconds since a router last saw in the table
	// that Version is the newest. It is not valid if AgeUnknown is set.
	VersionAgeMS uint32
	AgeUnknown   bool
	// KnownRouters is the number of routers that the sender knows, itself included.
	KnownRouters uint32
	// DrainUpdates are changes of the leaving state of upstreams. DrainChecksum is the
	// checksum of all drain entries of the sender.
	DrainUpdates  []drainer.Update
	DrainChecksum uint64
	// UpdateRequest, if set, asks for the configuration revisions after a version.
	UpdateRequest *UpdateRequest
	// Update, if set, is the answer to an UpdateRequest.
	Update *configurer.Update
}

// UpdateRequest asks for the configuration revisions after version Since.
type UpdateRequest struct {
	_     struct{} `codec:",toarray"`
	Since uint64
}

// Event is an input of a Coordinator.
type Event any

// Events, including those of the registrar and the configurer.
type (
	// Tick is passed at least every TickInterval.
	Tick struct{}
	// Receive is a message received from another router.
	Receive struct{ Message Message }
	// TableRead is the result of a ReadTable action.
	TableRead = configurer.TableRead
	// Accepted is a configuration change that an operator made through this router.
	Accepted = configurer.Accepted
	// RowsRead is the result of a ReadRows action.
	RowsRead = registrar.RowsRead
	// RowWritten is the result of a WriteRow action.
	RowWritten = registrar.RowWritten
	// VMsRead is the result of a ReadVMs action.
	VMsRead = registrar.VMsRead
	// Leave means that this router is shutting down and takes on no more roles.
	Leave = registrar.Leave
	// Stop means that this router is about to exit.
	Stop = registrar.Stop
	// QueryVersion requests the configuration version of another router.
	QueryVersion struct{ Router messenger.RouterID }
	// LoadReport states whether an upstream reported that it is leaving.
	LoadReport struct {
		Upstream messenger.UpstreamID
		Leaving  bool
	}
)

// Action is an operation that the caller of Handle must execute.
type Action interface{ isAction() }

// Actions, including those of the registrar and the configurer.
type (
	// Send sends a message to the router at Address.
	Send struct {
		Address string
		Message Message
	}
	// ReadTable reads the configuration table with configurer.Fetch.
	ReadTable struct{ configurer.ReadTable }
	// ReadRows reads rows of the registrar's table.
	ReadRows struct{ registrar.ReadRows }
	// WriteRow writes a row of the registrar's table.
	WriteRow struct{ registrar.WriteRow }
	// ReadVMs reads the platform's list of VMs.
	ReadVMs struct{ registrar.ReadVMs }
	// ApplyConfiguration replaces the policy and the configuration document in use.
	ApplyConfiguration struct {
		Document *configurer.Document
		Policy   *messenger.Policy
	}
	// PeersChange means that the live or known routers have changed.
	PeersChange struct{ registrar.PeersChange }
	// UpdateRejected means that a configuration update could not be applied.
	UpdateRejected struct{ configurer.UpdateRejected }
	// ReadyChange states whether the load balancer may send requests to this router.
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
