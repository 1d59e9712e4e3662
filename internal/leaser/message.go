package leaser

import (
	"time"

	"lentilwood.example/lentilwood/internal/storer"
)

// Event is an input to a Leaser.
type Event interface{ isEvent() }

// Tick signals that time has passed; send one at least every TickInterval.
type Tick struct{}

// SetWanted sets whether this router should hold the lease. A few routers that want the same
// lease are enough for one of them to hold it; if a whole large fleet did, most reads of the
// row would be wasted.
type SetWanted struct{ Wanted bool }

// RowRead is the result of a ReadRow.
type RowRead struct {
	Call uint64
	Row  storer.Row
	Err  error
}

// RowWritten is the result of a WriteRow.
type RowWritten struct {
	Call uint64
	Err  error
}

func (Tick) isEvent()       {}
func (SetWanted) isEvent()  {}
func (RowRead) isEvent()    {}
func (RowWritten) isEvent() {}

// Action is an operation that the caller of a Leaser has to carry out.
type Action interface{ isAction() }

// ReadRow reads a row of Table. Call is copied into the result.
type ReadRow struct {
	Key  string
	Call uint64
}

// WriteRow writes a row. Call is copied into the result.
type WriteRow struct {
	Op   storer.Op
	Call uint64
}

// Acquired reports that the lease is held from now on.
type Acquired struct {
	Lease Lease
	// QuietUntil is when orders may first be sent to upstreams that do not check fencing
	// numbers: by then an earlier holder's lease has certainly expired. The longest time that
	// an order may take is to be added.
	QuietUntil time.Time
}

// Lost reports that the lease is no longer held.
type Lost struct{ Fence uint64 }

func (ReadRow) isAction()  {}
func (WriteRow) isAction() {}
func (Acquired) isAction() {}
func (Lost) isAction()     {}
