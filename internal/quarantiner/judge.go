package quarantiner

import (
	"math"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

const (
	// minCrashes is the number of crashes that a part must be a suspect in to be confirmed. It is
	// minBegunCrashes for crashes in which the answers had begun, if requests without output
	// have begun for at most maxTellingShare of the time.
	minCrashes      = 5
	minBegunCrashes = 3
	maxTellingShare = 0.1
	// minEvidence is the evidence from which on a part is confirmed: the logarithm of how
	// unlikely it would be by chance.
	minEvidence = 10.5
	// minBegunShare bounds the share of the time in which a request without output has begun,
	// which is measured too coarsely if it is less.
	minBegunShare = 0.01
	// settleTime is how long this router must have known of a part's first crash to confirm
	// it, so that answers in progress can clear it. It is tellingSettleTime if minBegunCrashes
	// applies.
	settleTime        = 400 * time.Millisecond
	tellingSettleTime = 300 * time.Millisecond
)

// partEvidence is what counts against a part.
type partEvidence struct {
	// crashes are those that count against the part, begun the number of those in which the
	// answer had begun.
	crashes         []CrashID
	begun           int
	firstAt, lastAt time.Time
	// begunRequests are the numbers of requests with the part that were lost in the crashes in
	// which an answer had begun.
	begunRequests []int
	// accounts are the client accounts with evidence against the part.
	accounts map[messenger.NameHash]bool
	// confirmed is true if a router has confirmed the part, confirmedAt the number of crashes
	// that it was confirmed on.
	confirmed   bool
	confirmedAt int
}

// Change is the beginning or the end of a quarantine.
type Change struct {
	Part messenger.ContentID
	// Quarantined is true if the part is quarantined from now on.
	Quarantined bool
	// Cleared is true if the quarantine ended although its evidence had not expired.
	Cleared bool
	// Crashes is the number of crashes that count against the part, Begun the number of those
	// in which the answer had begun, and Accounts the number of client accounts with evidence.
	Crashes, Begun, Accounts int
	// Span is the time from the first to the last of the crashes.
	Span time.Duration
	// LostShare is the share of the requests without the part that were lost in crashes,
	// BegunShare the share of the time in which a request without output has begun, and Evidence
	// the logarithm of how unlikely the crashes would be by chance.
	LostShare, BegunShare, Evidence float64
}

// Update brings the ruling up to date with the evidence and returns the changes. Call it after
// observations and merges, and now and then.
func (t *Table) Update(now time.Time) []Change {
	t.expire(now)
	before := t.quarantined
	t.quarantined = t.judge(now)
	var changes []Change
	for part, q := range t.quarantined {
		if before[part] == nil {
			changes = append(changes, t.newChange(part, true, q))
		}
	}
	for part, q := range before {
		if t.quarantined[part] == nil {
			c := t.newChange(part, false, q)
			c.Cleared = now.Sub(q.lastAt) <= crashTTL
			changes = append(changes, c)
		}
	}
	return changes
}

func (t *Table) newChange(part messenger.ContentID, on bool, q *partEvidence) Change {
	return Change{
		Part: part, Quarantined: on, Crashes: len(q.crashes), Begun: q.begun, Accounts: len(q.accounts),
		Span: q.lastAt.Sub(q.firstAt), LostShare: t.lostShare(part), BegunShare: t.begunShare.mean(), Evidence: t.evidence(part, q),
	}
}

// judge confirms the parts that the evidence is enough for, and returns those that this or
// another router has confirmed.
func (t *Table) judge(now time.Time) map[messenger.ContentID]*partEvidence {
	if len(t.open) == 0 || !t.hasCandidate() {
		return nil
	}
	against := t.evidenceByPart()
	confirmed := make(map[messenger.ContentID]*partEvidence)
	for part, q := range against {
		if t.exempt[part] {
			continue
		}
		if !q.confirmed && t.isEnough(now, part, q) {
			t.markConfirmed(part)
			q.confirmed, q.confirmedAt = true, len(q.crashes)
		}
		if q.confirmed {
			confirmed[part] = q
		}
	}
	return confirmed
}

// hasCandidate reports whether a part is an open suspect in enough crashes to be confirmed.
func (t *Table) hasCandidate() bool {
	for _, x := range t.open {
		if x.crashes >= minBegunCrashes {
			return true
		}
	}
	return t.hasConfirmed()
}

// hasConfirmed reports whether a router has confirmed a part that is still open.
func (t *Table) hasConfirmed() bool {
	for _, c := range t.crashes {
		for _, s := range c.suspects {
			if s.Confirmed && !s.Cleared {
				return true
			}
		}
	}
	return false
}

// evidenceByPart adds up what counts against each part.
func (t *Table) evidenceByPart() map[messenger.ContentID]*partEvidence {
	against := make(map[messenger.ContentID]*partEvidence)
	for id, c := range t.crashes {
		counted := make(map[messenger.ContentID]bool)
		for _, s := range c.effective() {
			q, ok := against[s.Part]
			if !ok {
				q = &partEvidence{accounts: make(map[messenger.NameHash]bool), firstAt: c.at}
				against[s.Part] = q
			}
			q.accounts[s.Account] = true
			if !counted[s.Part] {
				counted[s.Part] = true
				q.add(id, c.at, s.Begun, c.requests(s.Part))
			}
		}
	}
	t.addConfirmations(against)
	return against
}

// addConfirmations marks the parts that a router has confirmed.
func (t *Table) addConfirmations(against map[messenger.ContentID]*partEvidence) {
	confirmedAt := make(map[messenger.ContentID]map[CrashID]bool)
	for id, c := range t.crashes {
		for _, s := range c.suspects {
			if s.Cleared || !s.Confirmed || against[s.Part] == nil {
				continue
			}
			if confirmedAt[s.Part] == nil {
				confirmedAt[s.Part] = make(map[CrashID]bool)
			}
			confirmedAt[s.Part][id] = true
		}
	}
	for part, ids := range confirmedAt {
		against[part].confirmed, against[part].confirmedAt = true, len(ids)
	}
}

// effective returns the suspects that count in a crash: the open ones whose answers had begun,
// or all open ones if there are none of these.
func (c *crash) effective() []Suspect {
	var begun, waiting []Suspect
	for _, s := range c.suspects {
		switch {
		case s.Cleared:
		case s.Begun:
			begun = append(begun, s)
		default:
			waiting = append(waiting, s)
		}
	}
	if len(begun) > 0 {
		return begun
	}
	return waiting
}

// requests returns the number of requests with a part that were lost in a crash, as far as known.
func (c *crash) requests(part messenger.ContentID) int {
	n := 0
	for _, s := range c.suspects {
		if s.Part == part {
			n += int(s.Requests)
		}
	}
	return max(1, n)
}

func (q *partEvidence) add(id CrashID, at time.Time, begun bool, requests int) {
	q.crashes = append(q.crashes, id)
	if begun {
		q.begun++
		q.begunRequests = append(q.begunRequests, requests)
	}
	if at.After(q.lastAt) {
		q.lastAt = at
	}
	if at.Before(q.firstAt) {
		q.firstAt = at
	}
}

// isEnough reports whether this router confirms a part.
func (t *Table) isEnough(now time.Time, part messenger.ContentID, q *partEvidence) bool {
	crashes, atLeast, settle := len(q.crashes), minCrashes, settleTime
	if t.begunShare.mean() <= maxTellingShare && q.begun >= minBegunCrashes {
		atLeast, settle = minBegunCrashes, tellingSettleTime
	}
	x := t.open[part]
	return x != nil && crashes >= atLeast && now.Sub(x.since) >= settle && t.evidence(part, q) >= minEvidence
}

// markConfirmed marks all that is open against a part.
func (t *Table) markConfirmed(part messenger.ContentID) {
	for _, c := range t.crashes {
		for i := range c.suspects {
			if s := &c.suspects[i]; s.Part == part && !s.Cleared {
				s.Confirmed = true
			}
		}
	}
	t.checksumValid = false
}

// lostShare returns the share of this router's requests without an open part that were lost in
// crashes before any output: of the recent ones, or of those since the first crash of the part if
// more of these were.
func (t *Table) lostShare(part messenger.ContentID) float64 {
	x := t.open[part]
	if x == nil {
		return 1
	}
	recent := outcomes{outputs: t.recent.outputs, lost: max(0, t.recent.lost-x.lost)}
	return max(recent.lostShare(), x.others(t.total).lostShare())
}

// evidence returns the logarithm of how unlikely it would be by chance that requests with a part
// were lost in its crashes, some of them after they had begun, and that none had output since.
func (t *Table) evidence(part messenger.ContentID, q *partEvidence) float64 {
	total := -math.Log(t.lostShare(part)) * float64(len(q.crashes))
	waiting := 1 - max(minBegunShare, t.begunShare.mean())
	for _, n := range q.begunRequests {
		total -= math.Log(1 - math.Pow(waiting, float64(n)))
	}
	return total
}
