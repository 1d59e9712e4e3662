package configurer

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Event is an input of a Configurer.
type Event interface{ isEvent() }

// Tick reports that time has passed. It is due at least every TickInterval.
type Tick struct{}

// TableRead is the result of a ReadTable.
type TableRead struct {
	Update Update
	// Err is set if the table could not be read.
	Err error
}

// PeerVersion is the part of another router's heartbeat about its configuration.
type PeerVersion struct {
	Router  messenger.RouterID
	Version uint64
	// VersionAge is the time since, as far as the peer knows, any router last saw
	// in the table that Version is the newest.
	VersionAge time.Duration
	// AgeUnknown is true if the peer knows of no such read of the table, or if the
	// age of the message itself is not known.
	AgeUnknown bool
	// Incarnation identifies the start of the peer; it grows with each restart.
	Incarnation uint64
	// Confirmed is true if the peer's version was confirmed since the peer started.
	Confirmed bool
	// IsReply is true if the heartbeat replies to one that this router has sent
	// since it started, and so was itself sent after the start.
	IsReply bool
	// KnownRouters is how many routers the peer knows of.
	KnownRouters int
}

// PeerUpdateRequest reports that another router requests the changes after version
// Since.
type PeerUpdateRequest struct {
	Router messenger.RouterID
	Since  uint64
}

// PeerUpdate is another router's response to a RequestUpdate.
type PeerUpdate struct {
	Router messenger.RouterID
	Update Update
}

// PeersChange reports which routers are in the fleet.
type PeersChange struct {
	// Live are the other routers that sent a heartbeat recently.
	Live []messenger.RouterID
	// KnownRouters is how many routers the fleet has, self included, whether they
	// are heard of or not.
	KnownRouters int
}

// Accepted reports that an operator's change, made through this router, has been
// committed to the table.
type Accepted struct{ Update Update }

func (Tick) isEvent()              {}
func (TableRead) isEvent()         {}
func (PeerVersion) isEvent()       {}
func (PeerUpdateRequest) isEvent() {}
func (PeerUpdate) isEvent()        {}
func (PeersChange) isEvent()       {}
func (Accepted) isEvent()          {}

// Action is an output of a Configurer, to be carried out by the caller.
type Action interface{ isAction() }

// ReadTable requests a call of Fetch(ctx, store, State) outside the control
// goroutine. The result is returned as a TableRead.
type ReadTable struct{ State *State }

// RequestUpdate requests the changes after version Since from another router. That
// router receives it as a PeerUpdateRequest.
type RequestUpdate struct {
	Router messenger.RouterID
	Since  uint64
}

// SendUpdate sends an update to another router, which receives it as a PeerUpdate.
type SendUpdate struct {
	Router messenger.RouterID
	Update Update
}

// ApplyConfiguration replaces the policy and the document in use for requests.
type ApplyConfiguration struct {
	Document *Document
	Policy   *messenger.Policy
}

// SendHeartbeats requests immediate heartbeats to some routers, because this router
// has a new version.
type SendHeartbeats struct{}

// UpdateRejected reports that an update could not be applied, because a revision is
// missing or this release cannot decode it. The version in force is unchanged.
type UpdateRejected struct {
	Version uint64
	Err     error
}

// ReadyChange reports whether the load balancer may send requests to this router.
type ReadyChange struct {
	Ready bool
	// Reason is set if the router is not ready.
	Reason NotReadyReason
}

// NotReadyReason is the reason why a router is not ready.
type NotReadyReason string

// The reasons for which a router is not ready.
const (
	// NoConfiguration means that the router has no configuration yet.
	NoConfiguration NotReadyReason = "no-configuration"
	// NotConfirmed means that the router has a version, but since its start neither
	// the table nor enough other routers have confirmed that it is the newest.
	NotConfirmed NotReadyReason = "not-confirmed"
	// CutOff means that for StaleLimit the router has had no confirmation from the
	// table, and that it receives no heartbeats from a majority of the routers.
	CutOff NotReadyReason = "cut-off"
)

func (ReadTable) isAction()          {}
func (RequestUpdate) isAction()      {}
func (SendUpdate) isAction()         {}
func (ApplyConfiguration) isAction() {}
func (SendHeartbeats) isAction()     {}
func (ReadyChange) isAction()        {}
func (UpdateRejected) isAction()     {}
