package registrar

import "slices"

// send returns the action that sends a heartbeat with pending updates to a member.
func (r *Registrar) send(m *member, h Heartbeat) Action {
	h.From = r.self
	h.Updates = r.pickUpdates(m)
	return Send{Address: m.Address, Heartbeat: h}
}

// pickUpdates selects the updates for a member: first its own state if that is not alive, so
// that it can refute it, then the pending updates that were sent the fewest times.
func (r *Registrar) pickUpdates(to *member) []Member {
	var picked []Member
	if to.Status != Alive {
		picked = append(picked, to.Member)
	}
	var pending []*member
	for _, id := range r.ids {
		if m := r.members[id]; m != to && m.sendsLeft > 0 {
			pending = append(pending, m)
		}
	}
	slices.SortStableFunc(pending, func(a, b *member) int { return b.sendsLeft - a.sendsLeft })
	for _, m := range pending {
		if len(picked) >= maxUpdates {
			return picked
		}
		m.sendsLeft--
		picked = append(picked, m.Member)
	}
	if len(picked) == 0 && len(r.members) > 1 {
		picked = append(picked, r.randomMember(to)...)
	}
	return picked
}

// randomMember picks one member at random, so that routers that missed an update receive it
// eventually.
func (r *Registrar) randomMember(except *member) []Member {
	m := r.members[r.ids[r.rng.IntN(len(r.ids))]]
	if m == except || m.Status == Left {
		return nil
	}
	return []Member{m.Member}
}
