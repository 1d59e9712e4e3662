// Package quarantiner decides which parts of prompts end the engines that answer on them
// (queries of death), and which requests therefore must not run.
//
// An engine that ends takes all its requests with it, and a request that has ended one engine
// ends the next one as well. Routers therefore collect evidence: at each crash, the shared
// prompt parts of the requests that had no output yet are suspects. An answer that has output
// clears its parts of all crashes known so far, since a poisoned part never lets an answer get
// that far. A part that is a suspect in several crashes and was cleared of none is confirmed if
// that can hardly be chance, and quarantined in the whole fleet: routers exchange evidence and
// confirmations.
//
//   - One crash counts once, however many routers saw it: it is identified by the upstream and
//     the start time of its process.
//   - Requests whose answer had begun are better suspects than those that still waited; if a
//     crash has the former, the latter don't count.
//   - Engines end for other reasons, too, and then everything in progress is a suspect. What
//     counts is how unlikely it is that all requests with a part were lost by chance, given
//     the share of the other requests that were, and the share of the time that a request
//     without output has begun.
//   - Evidence from one client account alone holds for that account. A request of another
//     account is let through, one at a time, and either clears the part or adds its account.
//   - Of parts that were suspects in the same crashes some may be sound. A request with only
//     some of the quarantined parts is let through in the same way.
//   - A quarantined part is tried again with growing pauses, and is forgotten some time after
//     its last crash.
//
// A Table does no I/O and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	var table quarantiner.Table
//	table.Observe(now, quarantiner.Break{Upstream: "w1", Account: "clinic", Parts: parts, Begun: true})
//	table.Observe(now, quarantiner.Refused{Upstream: "w1"})
//	for _, c := range table.Update(now) { ... }        // parts whose quarantine began or ended
//	ruling := table.Rule(now, quarantiner.Inquiry{Account: "clinic", Parts: parts})
//	if ruling.Refused() { ... }
//	if peer.checksum != table.Checksum() { send(table.Message(now)) }
//	table.Merge(now, received)
package quarantiner

import (
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// crashTTL is how long a crash counts, clearedTTL how long one is kept after all its parts were
	// cleared, so that the other routers learn of it.
	crashTTL   = 15 * time.Minute
	clearedTTL = 30 * time.Second
	// confirmWindow is how long after a break the end of the process can still be confirmed.
	confirmWindow = 10 * time.Second
	// sameCrashWindow is how long after a crash further breaks belong to it if the start time
	// of the process is not known.
	sameCrashWindow = 400 * time.Millisecond
)

// Limits of a Table.
const (
	maxCrashes  = 64
	maxSuspects = 24
	maxPending  = 64
)

// Table holds the evidence known to one router and the ruling that follows from it. The zero
// value is empty and ready to use.
type Table struct {
	// routers is the number of routers in the fleet, and self a number that differs between
	// them.
	routers int
	self    uint64

	pending map[process]*pendingCrash
	crashes map[CrashID]*crash
	// open holds the parts of suspects that are not cleared.
	open map[messenger.ContentID]*openPart
	// total and recent count what became of this router's requests. begunShare is the share of
	// the time before their output for which their answers had begun.
	total, recent outcomes
	begunShare    average
	// held and exempt are the parts that the operator set by hand.
	held, exempt map[messenger.ContentID]bool

	// quarantined is the ruling as of the last Update.
	quarantined map[messenger.ContentID]*partEvidence
	// trials holds the trials that requests of this router are on.
	trials map[messenger.ContentID]trial

	checksum      uint64
	checksumValid bool
}

// process is one process of an upstream.
type process struct {
	upstream messenger.UpstreamID
	// started is zero if it is not known.
	started time.Time
}

// pendingCrash holds the suspects of connections that broke, while it is not known whether the
// process ended.
type pendingCrash struct {
	at       time.Time
	suspects []Suspect
	// lost counts the requests, lostWith those with each part.
	lost     int
	lostWith map[messenger.ContentID]int
}

// crash is the end of a process together with the suspects.
type crash struct {
	at       time.Time
	suspects []Suspect
	// clearedAt is when it was first seen that all suspects are cleared.
	clearedAt time.Time
}

// SetRouters sets the number of routers in the fleet, by which trials are divided, and a number
// that identifies this one.
func (t *Table) SetRouters(n int, self uint64) { t.routers, t.self = n, self }

// SetByHand sets the parts that are quarantined without evidence, and those that never are.
func (t *Table) SetByHand(held, exempt []messenger.ContentID) {
	t.held, t.exempt = toSet(held), toSet(exempt)
}

func toSet(ids []messenger.ContentID) map[messenger.ContentID]bool {
	set := make(map[messenger.ContentID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// CrashCount returns the number of crashes in the table.
func (t *Table) CrashCount() int { return len(t.crashes) }

// Quarantined returns the quarantined parts as of the last Update, sorted.
func (t *Table) Quarantined() []messenger.ContentID {
	ids := make([]messenger.ContentID, 0, len(t.quarantined)+len(t.held))
	for id := range t.quarantined {
		ids = append(ids, id)
	}
	for id := range t.held {
		if t.quarantined[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
