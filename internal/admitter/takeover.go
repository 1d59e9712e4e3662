package admitter

import "lentilwood.example/lentilwood/internal/messenger"

// returnToReplaced handles the end of an attempt that was to replace a silent one, if the
// request goes on with that one: it occupies its slot again. It reports whether it does.
func (a *Admitter) returnToReplaced(r *request, e messenger.Finish) bool {
	before := r.replaced
	r.replaced = nil
	if e.ContinuesAt == "" || before == nil || before.upstream.id != e.ContinuesAt {
		return false
	}
	r.upstream, r.sentAt, r.firstOutputAt = before.upstream, before.sentAt, before.firstOutputAt
	r.unreadTokens, r.nothingAhead, r.expectedFirstOutput = before.unreadTokens, before.nothingAhead, before.expectedFirstOutput
	r.missedObjective, r.progressTimedOut = before.missedObjective, before.progressTimedOut
	r.upstream.addRequest(a.now, r)
	if !r.firstOutputAt.IsZero() {
		r.upstream.removePending(r)
		return true
	}
	if r.pool.hasEngines && r.arrive.Work.MaxOutputTokens > 0 {
		a.shares.addServed(a.now, r.arrive.Account, r.cost)
	}
	return true
}
