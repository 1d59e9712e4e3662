package quarantiner

import (
	"math"
	"slices"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Event is an observation of this router.
type Event interface{ apply(t *Table, now time.Time) }

// Break reports that the connection to an upstream broke off before the request on it had any
// output. By itself it does not count, since connections break for many reasons.
type Break struct {
	Upstream messenger.UpstreamID
	// Started is the start time of the upstream's process, or zero if it is not known.
	Started time.Time
	Account messenger.AccountID
	// Parts are the shared parts of the prompt.
	Parts []messenger.ContentID
	// Begun is true if the head of the answer had arrived.
	Begun bool
}

// Refused reports that an upstream refused a new connection: its process has ended.
type Refused struct {
	Upstream messenger.UpstreamID
	// Started is the start time of the process that the connection was meant for.
	Started time.Time
}

// Processes reports the processes that are registered now. A process that is not registered any
// more has ended, unless it announced that it leaves.
type Processes struct {
	// Lookup returns the start time of the registered process of an upstream.
	Lookup func(messenger.UpstreamID) (started time.Time, status Status)
}

// Status is the state of an upstream's registration.
type Status int

// States of a registration.
const (
	Gone Status = iota
	Running
	Leaving
)

// Output reports the first output of an attempt for a request with these parts.
type Output struct {
	Parts []messenger.ContentID
	// BegunShare is the part of the time from the sending of the request to the output, 0 to 1,
	// for which the answer had begun.
	BegunShare float64
}

// TrialEnd reports that a request on trial has ended.
type TrialEnd struct{ Parts []messenger.ContentID }

// Observe records an observation. Call Update afterwards.
func (t *Table) Observe(now time.Time, e Event) { e.apply(t, now) }

func (b Break) apply(t *Table, now time.Time) {
	if len(b.Parts) == 0 {
		return
	}
	p := process{b.Upstream, b.Started}
	suspects := b.suspects()
	if id := t.crashIDOf(now, p); t.isRecent(now, id) {
		t.addSuspects(now, id, now, countRequests(t.crashes[id].suspects, suspects))
		t.countLost(1, partCounts(nil, b.Parts))
		return
	}
	if t.pending == nil {
		t.pending = make(map[process]*pendingCrash)
	}
	c, ok := t.pending[p]
	if !ok {
		t.makeRoomForPending()
		c = &pendingCrash{at: now}
		t.pending[p] = c
	}
	c.suspects = mergeSuspects(c.suspects, countRequests(c.suspects, suspects))
	c.lost++
	c.lostWith = partCounts(c.lostWith, b.Parts)
}

// countRequests returns the suspects of one more request, with the number of requests that this
// router lost.
func countRequests(known, added []Suspect) []Suspect {
	for i := range added {
		for _, s := range known {
			if s.Part == added[i].Part && s.Account == added[i].Account {
				added[i].Requests = min(s.Requests, math.MaxUint16-1) + 1
			}
		}
	}
	return added
}

// partCounts adds 1 to the counts of some parts.
func partCounts(counts map[messenger.ContentID]int, parts []messenger.ContentID) map[messenger.ContentID]int {
	if counts == nil {
		counts = make(map[messenger.ContentID]int, len(parts))
	}
	for _, part := range parts {
		counts[part]++
	}
	return counts
}

// countLost counts requests that were lost in a crash.
func (t *Table) countLost(n int, lostWith map[messenger.ContentID]int) {
	t.countOutcomes(0, float64(n))
	for part, count := range lostWith {
		if x := t.open[part]; x != nil {
			x.lost += float64(count)
		}
	}
}

func (b Break) suspects() []Suspect {
	account := messenger.HashName(b.Account)
	suspects := make([]Suspect, 0, len(b.Parts))
	for _, part := range b.Parts {
		suspects = append(suspects, Suspect{Part: part, Account: account, Requests: 1, Begun: b.Begun})
	}
	return suspects
}

// makeRoomForPending drops the oldest pending crash if the table is full.
func (t *Table) makeRoomForPending() {
	if len(t.pending) < maxPending {
		return
	}
	var oldest process
	var at time.Time
	for p, c := range t.pending {
		if at.IsZero() || c.at.Before(at) {
			oldest, at = p, c.at
		}
	}
	delete(t.pending, oldest)
}

func (r Refused) apply(t *Table, now time.Time) { t.recordCrash(now, process{r.Upstream, r.Started}) }

// recordCrash turns a pending crash into a crash.
func (t *Table) recordCrash(now time.Time, p process) {
	c, ok := t.pending[p]
	if !ok {
		return
	}
	delete(t.pending, p)
	if now.Sub(c.at) > confirmWindow {
		return
	}
	if len(c.suspects) > 0 {
		t.addSuspects(now, t.crashIDOf(now, p), c.at, c.suspects)
	}
	t.countLost(c.lost, c.lostWith)
}

func (e Processes) apply(t *Table, now time.Time) {
	for p := range t.pending {
		started, status := e.Lookup(p.upstream)
		switch {
		case status == Leaving:
			delete(t.pending, p)
		case status == Gone || !started.Equal(p.started):
			t.recordCrash(now, p)
		}
	}
}

func (o Output) apply(t *Table, _ time.Time) {
	t.countOutcomes(1, 0)
	t.begunShare.add(o.BegunShare)
	for _, part := range o.Parts {
		t.clear(part)
	}
}

func (t *Table) countOutcomes(outputs, lost float64) {
	t.total.add(outputs, lost)
	t.recent.addRecent(outputs, lost)
}

// clear clears a part of all crashes known so far.
func (t *Table) clear(part messenger.ContentID) {
	for _, c := range t.pending {
		c.suspects = withoutPart(c.suspects, part)
	}
	if t.open[part] == nil {
		return
	}
	for _, c := range t.crashes {
		for i := range c.suspects {
			if c.suspects[i].Part == part {
				c.suspects[i].Cleared = true
			}
		}
	}
	delete(t.open, part)
	t.checksumValid = false
}

func withoutPart(suspects []Suspect, part messenger.ContentID) []Suspect {
	kept := suspects[:0]
	for _, s := range suspects {
		if s.Part != part {
			kept = append(kept, s)
		}
	}
	return kept
}

func (e TrialEnd) apply(t *Table, _ time.Time) {
	for _, part := range e.Parts {
		t.endTrial(part)
	}
}

// crashIDOf returns the ID of a crash of a process. If its start time is not known, crashes of
// the upstream are numbered, and one that happens shortly after another is the same one.
func (t *Table) crashIDOf(now time.Time, p process) CrashID {
	id := CrashID{Upstream: messenger.HashName(p.upstream)}
	if !p.started.IsZero() {
		id.Process = uint64(p.started.UnixMilli())
		return id
	}
	var lastAt time.Time
	for known, c := range t.crashes {
		if known.Upstream == id.Upstream && known.Process > id.Process {
			id.Process, lastAt = known.Process, c.at
		}
	}
	if lastAt.IsZero() || now.Sub(lastAt) > sameCrashWindow {
		id.Process++
	}
	return id
}

// isRecent reports whether a crash is known and so recent that other requests may still lose
// their connection by it.
func (t *Table) isRecent(now time.Time, id CrashID) bool {
	c, ok := t.crashes[id]
	return ok && now.Sub(c.at) <= confirmWindow
}

// addSuspects adds suspects to a crash that happened at the given time, or earlier if it is
// known already.
func (t *Table) addSuspects(now time.Time, id CrashID, at time.Time, suspects []Suspect) bool {
	if t.crashes == nil {
		t.crashes = make(map[CrashID]*crash)
	}
	c, ok := t.crashes[id]
	if !ok {
		c = &crash{at: at}
		t.crashes[id] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	merged := mergeSuspects(c.suspects, suspects)
	if ok && slices.Equal(c.suspects, merged) {
		return false
	}
	c.suspects = merged
	t.evict()
	t.reopen(now)
	return true
}

// evict removes crashes while there are too many: those without an open suspect first, then
// those that no quarantine rests on, each time the oldest.
func (t *Table) evict() {
	for len(t.crashes) > maxCrashes {
		var victim CrashID
		best := -1
		var at time.Time
		for id, c := range t.crashes {
			rank := t.evictionRank(c)
			if best < 0 || rank < best || rank == best && c.at.Before(at) {
				victim, best, at = id, rank, c.at
			}
		}
		delete(t.crashes, victim)
	}
}

func (t *Table) evictionRank(c *crash) int {
	rank := 0
	for _, s := range c.suspects {
		switch {
		case s.Cleared:
		case t.quarantined[s.Part] != nil:
			return 2
		default:
			rank = 1
		}
	}
	return rank
}

// reopen determines the open parts anew after suspects were added or removed.
func (t *Table) reopen(now time.Time) {
	before := t.open
	t.open = make(map[messenger.ContentID]*openPart)
	for _, x := range before {
		x.crashes = 0
	}
	for _, c := range t.crashes {
		for i, s := range c.suspects {
			if s.Cleared {
				continue
			}
			x := t.open[s.Part]
			if x == nil {
				x = before[s.Part]
			}
			if x == nil {
				x = &openPart{since: now, before: t.total}
			}
			t.open[s.Part] = x
			if !hasPart(c.suspects[:i], s.Part) {
				x.crashes++
			}
		}
	}
	t.checksumValid = false
}

// hasPart reports whether an open suspect has a part.
func hasPart(suspects []Suspect, part messenger.ContentID) bool {
	return slices.ContainsFunc(suspects, func(s Suspect) bool { return s.Part == part && !s.Cleared })
}

// expire removes what is too old.
func (t *Table) expire(now time.Time) {
	for p, c := range t.pending {
		if now.Sub(c.at) > confirmWindow {
			delete(t.pending, p)
		}
	}
	removed := false
	for id, c := range t.crashes {
		if c.isExpired(now) {
			delete(t.crashes, id)
			removed = true
		}
	}
	if removed {
		t.reopen(now)
	}
	for part, trial := range t.trials {
		if now.After(trial.until) {
			delete(t.trials, part)
		}
	}
}

// isExpired reports whether the crash is no longer kept.
func (c *crash) isExpired(now time.Time) bool {
	if !allCleared(c.suspects) {
		c.clearedAt = time.Time{}
		return now.Sub(c.at) > crashTTL
	}
	if c.clearedAt.IsZero() {
		c.clearedAt = now
	}
	return now.Sub(c.clearedAt) > clearedTTL
}
