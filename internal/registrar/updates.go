package registrar

import "slices"

// send addresses a heartbeat to a member, with news.
func (r *Registrar) send(m *member, h Heartbeat) Action {
	h.From = r.self
	h.Updates = r.news(m)
	return Send{Address: m.Address, Heartbeat: h}
}

// news picks what to tell a member: what is thought of itself if that is wrong
// or grave, then what was sent the fewest times.
func (r *Registrar) news(to *member) []Member {
	var picked []Member
	if to.Status != Alive {
		picked = append(picked, to.Member)
	}
	var fresh []*member
	for _, id := range r.ids {
		if m := r.members[id]; m != to && m.left > 0 {
			fresh = append(fresh, m)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *member) int { return b.left - a.left })
	for _, m := range fresh {
		if len(picked) >= newsPerHeartbeat {
			return picked
		}
		m.left--
		picked = append(picked, m.Member)
	}
	if len(picked) == 0 && len(r.members) > 1 {
		picked = append(picked, r.someMember(to)...)
	}
	return picked
}

// someMember picks one member at random, so that whoever missed news of it
// hears it in the end.
func (r *Registrar) someMember(except *member) []Member {
	m := r.members[r.ids[r.rng.IntN(len(r.ids))]]
	if m == except || m.Status == Left {
		return nil
	}
	return []Member{m.Member}
}
