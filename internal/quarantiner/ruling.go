package quarantiner

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// maxOtherParts is how many other parts may explain the crashes of a quarantined part for
	// a request without these to be tried, minExplained how many crashes they must explain if
	// one has another cause.
	maxOtherParts = 2
	minExplained  = 3
	// firstTrialPause is the time from the last crash of a quarantined part to its first
	// trial. It doubles with each trial that fails, up to maxTrialPause.
	firstTrialPause = time.Minute
	maxTrialPause   = 8 * time.Minute
	maxDoublings    = 10
	// trialTurn is how long the same routers may start a trial that is due. The number of
	// routers that may doubles with each turn.
	trialTurn = 10 * time.Second
	// maxTrialTime is how long a trial lasts at most.
	maxTrialTime = 10 * time.Second
	// maxTrials is how many requests of one router may try a part at a time if it is likely
	// that they are sound.
	maxTrials = 8
	// shortRetryAfter is the Retry-After while a trial is in progress that may show that the
	// request is sound, longRetryAfter the one of a request that is not tried.
	shortRetryAfter = time.Second
	longRetryAfter  = 15 * time.Second
)

// Inquiry asks whether a request may run.
type Inquiry struct {
	Account messenger.AccountID
	Parts   []messenger.ContentID
	// Begin is true if the request is about to be sent. If it may only run as a trial, other
	// requests with the same parts are refused until TrialEnd.
	Begin bool
}

// Ruling says whether a request may run.
type Ruling struct {
	// Part is the part for which the request is refused; zero if it may run.
	Part messenger.ContentID
	// RetryAfter is when a refused caller should come back at the earliest.
	RetryAfter time.Duration
	// Trial holds the parts that the request tries; empty if it may run anyway.
	Trial []messenger.ContentID
}

// Refused reports whether the request must not run.
func (r Ruling) Refused() bool { return r.Part != 0 }

// trial is the state of the requests of this router that try a part.
type trial struct {
	count int
	// until is when the trial is over at the latest.
	until time.Time
}

// Rule decides whether a request may run, by the ruling of the last Update.
func (t *Table) Rule(now time.Time, in Inquiry) Ruling {
	var r Ruling
	for _, part := range in.Parts {
		if t.held[part] {
			return Ruling{Part: part, RetryAfter: longRetryAfter}
		}
		q, ok := t.quarantined[part]
		if !ok {
			continue
		}
		allowed := t.allowedTrials(now, part, q, in)
		if allowed == 0 {
			return Ruling{Part: part, RetryAfter: longRetryAfter}
		}
		if t.trials[part].count >= allowed {
			return Ruling{Part: part, RetryAfter: shortRetryAfter}
		}
		r.Trial = append(r.Trial, part)
	}
	if in.Begin {
		t.startTrial(now, r.Trial)
	}
	return r
}

func (t *Table) startTrial(now time.Time, parts []messenger.ContentID) {
	for _, part := range parts {
		if t.trials == nil {
			t.trials = make(map[messenger.ContentID]trial)
		}
		t.trials[part] = trial{count: t.trials[part].count + 1, until: now.Add(maxTrialTime)}
	}
}

func (t *Table) endTrial(part messenger.ContentID) {
	trial, ok := t.trials[part]
	if !ok {
		return
	}
	trial.count--
	t.trials[part] = trial
	if trial.count <= 0 {
		delete(t.trials, part)
	}
}

// allowedTrials returns how many requests like this one may try a quarantined part at a time.
func (t *Table) allowedTrials(now time.Time, part messenger.ContentID, q *partEvidence, in Inquiry) int {
	switch {
	case len(q.accounts) == 1 && !q.accounts[messenger.HashName(in.Account)], t.isExplainedWithout(q, in.Parts):
		return maxTrials
	case t.isTurn(now, part, q):
		return 1
	}
	return 0
}

// isExplainedWithout reports whether the crashes of a quarantine may be due to few other parts
// that a request does not have: each crash, but for one, has one of them as a suspect.
func (t *Table) isExplainedWithout(q *partEvidence, parts []messenger.ContentID) bool {
	var others [][]messenger.ContentID
	unexplained := 0
	for _, id := range q.crashes {
		c, ok := t.crashes[id]
		if !ok {
			continue
		}
		list := c.openPartsWithout(parts)
		if len(list) == 0 {
			unexplained++
			continue
		}
		others = append(others, list)
	}
	if unexplained > 1 || unexplained == 1 && len(others) < minExplained {
		return false
	}
	return covers(others, maxOtherParts)
}

// covers reports whether at most n parts suffice for each list to hold one of them.
func covers(lists [][]messenger.ContentID, n int) bool {
	if len(lists) == 0 {
		return true
	}
	if n == 0 {
		return false
	}
	for _, part := range lists[0] {
		var rest [][]messenger.ContentID
		for _, list := range lists[1:] {
			if !slices.Contains(list, part) {
				rest = append(rest, list)
			}
		}
		if covers(rest, n-1) {
			return true
		}
	}
	return false
}

// openPartsWithout returns the parts that count against in a crash, without the given ones.
func (c *crash) openPartsWithout(parts []messenger.ContentID) []messenger.ContentID {
	var others []messenger.ContentID
	for _, s := range c.effective() {
		if !slices.Contains(parts, s.Part) {
			others = append(others, s.Part)
		}
	}
	return others
}

// isTurn reports whether a trial of a part is due and it is this router's turn. Few routers
// may start at first; the longer nobody does, the more.
func (t *Table) isTurn(now time.Time, part messenger.ContentID, q *partEvidence) bool {
	overdue := now.Sub(q.lastAt) - trialPause(q)
	if overdue < 0 {
		return false
	}
	turn := uint64(overdue / trialTurn)
	share := math.Exp2(float64(turn)) / float64(max(1, t.routers))
	return float64(lot(part, turn, t.self)) < share*math.MaxUint64
}

// trialPause returns the time from the last crash of a part to its next trial.
func trialPause(q *partEvidence) time.Duration {
	doublings := min(max(0, len(q.crashes)-q.confirmedAt), maxDoublings)
	return min(firstTrialPause<<doublings, maxTrialPause)
}

// lot returns the number that a router draws for a turn of a part.
func lot(part messenger.ContentID, turn, self uint64) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(part))
	binary.LittleEndian.PutUint64(b[8:], turn)
	binary.LittleEndian.PutUint64(b[16:], self)
	return xxhash.Sum64(b[:])
}

// MayRepeat reports whether a request that has just lost its connection before any output may
// be sent to another upstream: not if one of its parts is an open suspect in a crash of another
// process, in which the answer had begun.
func (t *Table) MayRepeat(now time.Time, upstream messenger.UpstreamID, started time.Time, parts []messenger.ContentID) bool {
	own := t.crashIDOf(now, process{upstream, started})
	for id, c := range t.crashes {
		if id == own {
			continue
		}
		for _, s := range c.suspects {
			if s.Begun && !s.Cleared && slices.Contains(parts, s.Part) {
				return false
			}
		}
	}
	return true
}
