package admitter

// The functions in this file keep streams at upstreams with one software version, as what two
// versions write in a stream doesn't fit together.

// serves reports whether the upstream has the software version that a request is bound to.
func (u *upstream) serves(r *request) bool {
	return r.arrive.SoftwareVersion == "" || u.policy.SoftwareVersion == r.arrive.SoftwareVersion
}

// hasVersionOf reports whether some upstream that takes requests has the software version that a
// request is bound to.
func (p *pool) hasVersionOf(r *request) bool {
	if r.arrive.SoftwareVersion == "" {
		return true
	}
	for _, u := range p.members {
		if u.acceptsWork && u.serves(r) {
			return true
		}
	}
	return false
}
