package admitter

// isEvacuated reports whether no member of the pool accepts work and some would if the operator
// had not emptied their failure domains.
func (p *pool) isEvacuated() bool {
	emptied := false
	for _, u := range p.members {
		if u.acceptsWork {
			return false
		}
		emptied = emptied || u.policy.Evacuated && !u.policy.Leaving
	}
	return emptied
}

// RunningIn returns the number of this router's requests at the upstreams of a failure domain.
func (a *Admitter) RunningIn(domain string) int {
	n := 0
	for _, u := range a.upstreams {
		if u.policy.Domain == domain {
			n += u.running
		}
	}
	return n
}
