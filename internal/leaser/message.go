package leaser

import (
	"time"

	"lentilwood.example/lentilwood/internal/storer"
)

// Event is one thing told to a Leaser.
type Event interface{ isEvent() }

// Tick says that time has passed; feed one at least every TickInterval.
type Tick struct{}

// SetWanted says whether this router should hold the lease. A few routers that want
// the same lease are enough for one of them to have it; all of a large fleet
// would read its row in vain.
type SetWanted struct{ Wanted bool }

// RowRead answers a ReadRow.
type RowRead struct {
	Call uint64
	Row  storer.Row
	Err  error
}

// RowWritten answers a WriteRow.
type RowWritten struct {
	Call uint64
	Err  error
}

func (Tick) isEvent()       {}
func (SetWanted) isEvent()  {}
func (RowRead) isEvent()    {}
func (RowWritten) isEvent() {}

// Action is one thing a Leaser wants done.
type Action interface{ isAction() }

// ReadRow asks for a row of Table. Call goes into the answer.
type ReadRow struct {
	Key  string
	Call uint64
}

// WriteRow asks for a write. Call goes into the answer.
type WriteRow struct {
	Op   storer.Op
	Call uint64
}

// Acquired says that the lease is held from now on.
type Acquired struct {
	Lease Lease
	// QuietUntil is until when nothing is sent to upstreams that do not check
	// fencing numbers: an earlier holder's lease has surely lapsed by then. The
	// longest time that an order may take is to be added.
	QuietUntil time.Time
}

// Lost says that the lease is not held any more.
type Lost struct{ Fence uint64 }

func (ReadRow) isAction()  {}
func (WriteRow) isAction() {}
func (Acquired) isAction() {}
func (Lost) isAction()     {}
