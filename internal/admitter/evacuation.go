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
