package gossiper

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// smallFleet is up to how many routers all tell each other what they do.
	maxFullMeshRouters = 12
	// leastCollectors is how many routers of a failure domain collect at least, so that
	// one of them can be lost.
	minCollectorsPerDomain = 2
	// digestTimeout is after what time without a digest a router reports to another one,
	// and starvedTimeout the same of a router that is short of processor time: the delay
	// is its own.
	digestTimeout           = 300 * time.Millisecond
	overloadedDigestTimeout = 1500 * time.Millisecond
	// backAfter is how long after it failed a router must be said to collect before it
	// is reported to again: that it failed is not known everywhere at once. Without such
	// a word it is tried again after tryAgain.
	failedHoldTime  = 3 * time.Second
	failedRetryTime = 30 * time.Second
	// settledAfter is how long a router reports to one that collects before it may
	// change to one that it would rather report to.
	minReportTime = 4 * time.Second
)

// Collectors returns the routers that collect what all do: all of a small fleet, else
// about as many as each then has reporters, spread over the failure domains. Those
// with most processor time come first, then those with the lowest hashes.
func Collectors(members []Member) []Member {
	if len(members) <= maxFullMeshRouters {
		return slices.Clone(members)
	}
	domains := make(map[string][]Member)
	for _, m := range members {
		domains[m.Domain] = append(domains[m.Domain], m)
	}
	perDomain := int(math.Round(math.Sqrt(float64(len(members))) / float64(len(domains))))
	perDomain = max(minCollectorsPerDomain, perDomain)
	var chosen []Member
	for _, members := range domains {
		slices.SortFunc(members, byPreference)
		chosen = append(chosen, members[:min(perDomain, len(members))]...)
	}
	slices.SortFunc(chosen, byName)
	return chosen
}

// byFitness puts the routers first that should rather collect.
func byPreference(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(nameHash(a), nameHash(b)), byName(a, b))
}

// Reporter decides which of the routers that collect one router reports to. The zero
// value reports to nobody yet.
type Reporter struct {
	current      Member
	currentSince time.Time
	lastDigestAt time.Time
	failedAt     map[string]time.Time
	overloaded   bool
}

// SetOverloaded sets whether the router itself is short of processor time.
func (r *Reporter) SetOverloaded(overloaded bool) { r.overloaded = overloaded }

// timeout returns after what time without a digest another router is reported to.
func (r *Reporter) timeout() time.Duration {
	if r.overloaded {
		return overloadedDigestTimeout
	}
	return digestTimeout
}

// Current returns the router that is reported to; its name is "" if there is none.
func (r *Reporter) Current() Member { return r.current }

// ReceiveDigest notes that a router sent a digest.
func (r *Reporter) ReceiveDigest(now time.Time, from string) {
	if from == r.current.Name {
		r.lastDigestAt = now
	}
}

// MarkFailed notes that a router no longer collects, as it leaves.
func (r *Reporter) MarkFailed(now time.Time, name string) {
	if r.failedAt == nil {
		r.failedAt = make(map[string]time.Time)
	}
	r.failedAt[name] = now
}

// HasRecentDigest reports whether a digest came of late.
func (r *Reporter) HasRecentDigest(now time.Time) bool {
	return !r.lastDigestAt.IsZero() && now.Sub(r.lastDigestAt) <= r.timeout()
}

// MarkAnnounced notes that a router is said to collect.
func (r *Reporter) MarkAnnounced(now time.Time, name string) {
	if failed, ok := r.failedAt[name]; ok && now.Sub(failed) >= failedHoldTime {
		delete(r.failedAt, name)
	}
}

// Pick returns the router that self reports to, of those that should collect and of the
// others that could if none of these answers. It changes if the one before fell silent,
// or if another one has been preferable for a while.
func (r *Reporter) Pick(now time.Time, self Member, collectors, others []Member) Member {
	if r.current.Name != "" && now.Sub(laterOf(r.currentSince, r.lastDigestAt)) > r.timeout() {
		r.MarkFailed(now, r.current.Name)
	}
	preferred, ok := r.preferred(now, self, collectors, others)
	if !ok {
		r.current = Member{}
		return r.current
	}
	if preferred.Name == r.current.Name {
		r.current = preferred
		return preferred
	}
	if r.usable(now, r.current) && r.HasRecentDigest(now) && now.Sub(r.currentSince) < minReportTime {
		return r.current
	}
	r.current, r.currentSince, r.lastDigestAt = preferred, now, time.Time{}
	return preferred
}

// best returns the router that self would rather report to than to all others: one of
// its failure domain that collects; else the one there that should collect next, the
// same for all; else one elsewhere.
func (r *Reporter) preferred(now time.Time, self Member, collectors, others []Member) (Member, bool) {
	sameDomain := func(m Member) bool { return m.Domain == self.Domain }
	otherDomain := func(m Member) bool { return m.Domain != self.Domain }
	byPair := func(a, b Member) int { return cmp.Compare(pairHash(a, self), pairHash(b, self)) }
	for _, group := range []struct {
		members []Member
		filter  func(Member) bool
		order   func(a, b Member) int
	}{
		{collectors, sameDomain, byPair}, {others, sameDomain, byPreference}, {collectors, otherDomain, byPair}, {others, otherDomain, byPreference},
	} {
		if m, ok := r.firstUsable(now, self, group.members, group.filter, group.order); ok {
			return m, true
		}
	}
	return Member{}, false
}

// first returns the first of some routers that self may report to.
func (r *Reporter) firstUsable(now time.Time, self Member, members []Member, filter func(Member) bool, order func(a, b Member) int) (first Member, ok bool) {
	for _, m := range members {
		if m.Name == self.Name || !filter(m) || !r.usable(now, m) {
			continue
		}
		if !ok || order(m, first) < 0 {
			first, ok = m, true
		}
	}
	return first, ok
}

// usable reports whether a router has not failed of late.
func (r *Reporter) usable(now time.Time, m Member) bool {
	failed, ok := r.failedAt[m.Name]
	if !ok {
		return true
	}
	if now.Sub(failed) < failedRetryTime {
		return false
	}
	delete(r.failedAt, m.Name)
	return true
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
