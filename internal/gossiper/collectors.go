package gossiper

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxFullMeshRouters is the largest fleet in which all routers are collectors, so that
	// each sends its load to all others.
	maxFullMeshRouters = 12
	// minCollectorsPerDomain is the least number of collectors in a failure domain, so that
	// one of them can fail.
	minCollectorsPerDomain = 2
	// digestTimeout is the time without a digest after which a router switches to another
	// collector. An overloaded router, which delays digests itself, uses
	// overloadedDigestTimeout.
	digestTimeout           = 300 * time.Millisecond
	overloadedDigestTimeout = 1500 * time.Millisecond
	// After the failure of a collector, messages in which other routers list it as a collector
	// are ignored for failedHoldTime, since not all routers know of the failure at once. A later
	// such message makes the collector usable again. Without one, the collector is usable again
	// after failedRetryTime.
	failedHoldTime  = 3 * time.Second
	failedRetryTime = 30 * time.Second
	// minReportTime is how long a router reports to a working collector before it may switch to
	// a preferred collector.
	minReportTime = 4 * time.Second
)

// Collectors returns the routers that collect the loads of all others. In a small fleet all
// routers are collectors. In a larger fleet the number of collectors is about the square root
// of the number of routers, so that each collector has about as many reporters as there are
// collectors, and the collectors are spread over the failure domains. Routers with the most
// CPU time are preferred, then those with the lowest hashes.
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

// byPreference orders routers by their suitability as collectors, the most suitable first.
func byPreference(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(nameHash(a), nameHash(b)), byName(a, b))
}

// Reporter chooses the collector that one router reports to. The zero value has no collector.
type Reporter struct {
	current      Member
	currentSince time.Time
	lastDigestAt time.Time
	failedAt     map[string]time.Time
	overloaded   bool
}

// SetOverloaded sets whether this router itself is overloaded.
func (r *Reporter) SetOverloaded(overloaded bool) { r.overloaded = overloaded }

// timeout returns the time without a digest after which the collector counts as failed.
func (r *Reporter) timeout() time.Duration {
	if r.overloaded {
		return overloadedDigestTimeout
	}
	return digestTimeout
}

// Current returns the current collector, or the zero Member if there is none.
func (r *Reporter) Current() Member { return r.current }

// ReceiveDigest records that a router sent a digest. Only those of the current collector count.
func (r *Reporter) ReceiveDigest(now time.Time, from string) {
	if from == r.current.Name {
		r.lastDigestAt = now
	}
}

// MarkFailed records that a router is no longer usable as a collector, because it is leaving
// or does not answer.
func (r *Reporter) MarkFailed(now time.Time, name string) {
	if r.failedAt == nil {
		r.failedAt = make(map[string]time.Time)
	}
	r.failedAt[name] = now
}

// HasRecentDigest reports whether the current collector sent a digest within the timeout.
func (r *Reporter) HasRecentDigest(now time.Time) bool {
	return !r.lastDigestAt.IsZero() && now.Sub(r.lastDigestAt) <= r.timeout()
}

// MarkAnnounced records that another router announced the named router as a collector. A failed
// collector becomes usable again, unless it failed less than failedHoldTime ago.
func (r *Reporter) MarkAnnounced(now time.Time, name string) {
	if failed, ok := r.failedAt[name]; ok && now.Sub(failed) >= failedHoldTime {
		delete(r.failedAt, name)
	}
}

// Pick returns the router that self reports to: one of the collectors, or one of the other
// routers if no collector of self's failure domain is usable. Pick switches if the current
// collector sent no digest within the timeout, or if another router is preferred and the
// current one has been used for minReportTime.
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

// preferred returns the usable router that self prefers to report to: a collector in its
// failure domain; else the most suitable other router there, which is the same for all
// reporters; else a router in another domain, by the same rules.
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

// firstUsable returns the first usable router, in the given order, that passes the filter.
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

// usable reports whether a router has not failed recently.
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
