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
	// Age is how long ago, as far as the peer knows, a router last saw in the
	// table that Version is the newest.
	Age time.Duration
	// Unconfirmed is true if the peer knows of no such look at the table, or
	// if the age of the message itself is not known.
	Unconfirmed bool
	// Incarnation tells the starts of the peer apart.
	Incarnation uint64
	// Settled is true if the peer's version was confirmed since its start.
	Settled bool
	// Answers is true if the heartbeat answers one that this router has sent
	// since its start, and so was not under way for longer.
	Answers bool
	// Known is how many routers the peer knows of.
	Known int
}

// PeerAsk says that another router wants what came after Since.
type PeerAsk struct {
	Router messenger.RouterID
	Since  uint64
}

// PeerAnswer answers an AskPeer.
type PeerAnswer struct {
	Router messenger.RouterID
	Update Update
}

// Peers says which routers there are.
type Peers struct {
	// Live are the routers heard of lately, self left out.
	Live []messenger.RouterID
	// Known is how many routers the fleet has, self included, whether they
	// are heard of or not.
	Known int
}

// Accepted says that an operator's change, made through this router, is in
// the table.
type Accepted struct{ Update Update }

func (Tick) isEvent()        {}
func (TableRead) isEvent()   {}
func (PeerVersion) isEvent() {}
func (PeerAsk) isEvent()     {}
func (PeerAnswer) isEvent()  {}
func (Peers) isEvent()       {}
func (Accepted) isEvent()    {}

// Action is one thing a Configurer wants done.
type Action interface{ isAction() }

// ReadTable asks for Fetch(ctx, store, State), off the control goroutine. Its
// result comes back as a TableRead.
type ReadTable struct{ State *State }

// AskPeer asks another router for what came after Since. It reaches that
// router as a PeerAsk.
type AskPeer struct {
	Router messenger.RouterID
	Since  uint64
}

// AnswerPeer sends an update to another router. It arrives there as a
// PeerAnswer.
type AnswerPeer struct {
	Router messenger.RouterID
	Update Update
}

// PutInForce replaces the policy and the document that requests are served
// by.
type PutInForce struct {
	Document *Document
	Policy   *messenger.Policy
}

// Announce asks for a heartbeat to some routers at once, because this router
// has a new version.
type Announce struct{}

// Rejected says that an update could not be applied: it left out a revision, or
// this release cannot read it. The version in force stays.
type Rejected struct {
	Version uint64
	Err     error
}

// ReadyChange says whether the balancer may send callers to this router.
type ReadyChange struct {
	Ready bool
	// Reason says why it is not ready.
	Reason NotReady
}

// NotReady is a reason for which a router is not ready.
type NotReady string

// The reasons for which a router is not ready.
const (
	// NoConfiguration means that no version is known yet.
	NoConfiguration NotReady = "no-configuration"
	// NotConfirmed means that a version is known, but neither the table nor
	// most of the routers have confirmed since the start that it is the
	// newest.
	NotConfirmed NotReady = "not-confirmed"
	// CutOff means that for StaleLimit nothing was heard of the table, and
	// that most of the routers are not heard of either.
	CutOff NotReady = "cut-off"
)

func (ReadTable) isAction()   {}
func (AskPeer) isAction()     {}
func (AnswerPeer) isAction()  {}
func (PutInForce) isAction()  {}
func (Announce) isAction()    {}
func (ReadyChange) isAction() {}
func (Rejected) isAction()    {}
