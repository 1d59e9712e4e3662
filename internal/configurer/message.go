package configurer

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Event is one thing told to a Configurer.
type Event interface{ isEvent() }

// Tick says that time has passed; feed one at least every TickInterval.
type Tick struct{}

// TableRead answers a ReadTable.
type TableRead struct {
	Update Update
	// Err is why the table was not read.
	Err error
}

// PeerVersion is what the heartbeat of another router says of configuration.
type PeerVersion struct {
	Router  messenger.RouterID
	Version uint64
	// VersionAge is how long ago, as far as the peer knows, a router last saw in the
	// table that Version is the newest.
	VersionAge time.Duration
	// AgeUnknown is true if the peer knows of no such look at the table, or
	// if the age of the message itself is not known.
	AgeUnknown bool
	// Incarnation tells the starts of the peer apart.
	Incarnation uint64
	// Confirmed is true if the peer's version was confirmed since its start.
	Confirmed bool
	// IsReply is true if the heartbeat answers one that this router has sent
	// since its start, and so was not under way for longer.
	IsReply bool
	// KnownRouters is how many routers the peer knows of.
	KnownRouters int
}

// PeerUpdateRequest says that another router wants what came after Since.
type PeerUpdateRequest struct {
	Router messenger.RouterID
	Since  uint64
}

// PeerUpdate answers a RequestUpdate.
type PeerUpdate struct {
	Router messenger.RouterID
	Update Update
}

// PeersChange says which routers there are.
type PeersChange struct {
	// Live are the routers heard of lately, self left out.
	Live []messenger.RouterID
	// KnownRouters is how many routers the fleet has, self included, whether they
	// are heard of or not.
	KnownRouters int
}

// Accepted says that an operator's change, made through this router, is in
// the table.
type Accepted struct{ Update Update }

func (Tick) isEvent()              {}
func (TableRead) isEvent()         {}
func (PeerVersion) isEvent()       {}
func (PeerUpdateRequest) isEvent() {}
func (PeerUpdate) isEvent()        {}
func (PeersChange) isEvent()       {}
func (Accepted) isEvent()          {}

// Action is one thing a Configurer wants done.
type Action interface{ isAction() }

// ReadTable asks for Fetch(ctx, store, State), off the control goroutine. Its
// result comes back as a TableRead.
type ReadTable struct{ State *State }

// RequestUpdate asks another router for what came after Since. It reaches that
// router as a PeerUpdateRequest.
type RequestUpdate struct {
	Router messenger.RouterID
	Since  uint64
}

// SendUpdate sends an update to another router. It arrives there as a
// PeerUpdate.
type SendUpdate struct {
	Router messenger.RouterID
	Update Update
}

// ApplyConfiguration replaces the policy and the document that requests are served
// by.
type ApplyConfiguration struct {
	Document *Document
	Policy   *messenger.Policy
}

// SendHeartbeats asks for a heartbeat to some routers at once, because this router
// has a new version.
type SendHeartbeats struct{}

// UpdateRejected says that an update could not be applied: it left out a revision, or
// this release cannot read it. The version in force stays.
type UpdateRejected struct {
	Version uint64
	Err     error
}

// ReadyChange says whether the balancer may send callers to this router.
type ReadyChange struct {
	Ready bool
	// Reason says why it is not ready.
	Reason NotReadyReason
}

// NotReadyReason is a reason for which a router is not ready.
type NotReadyReason string

// The reasons for which a router is not ready.
const (
	// NoConfiguration means that no version is known yet.
	NoConfiguration NotReadyReason = "no-configuration"
	// NotConfirmed means that a version is known, but neither the table nor
	// most of the routers have confirmed since the start that it is the
	// newest.
	NotConfirmed NotReadyReason = "not-confirmed"
	// CutOff means that for StaleLimit nothing was heard of the table, and
	// that most of the routers are not heard of either.
	CutOff NotReadyReason = "cut-off"
)

func (ReadTable) isAction()          {}
func (RequestUpdate) isAction()      {}
func (SendUpdate) isAction()         {}
func (ApplyConfiguration) isAction() {}
func (SendHeartbeats) isAction()     {}
func (ReadyChange) isAction()        {}
func (UpdateRejected) isAction()     {}
