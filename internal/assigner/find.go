package assigner

import (
	"cmp"
	"slices"

	"lentilwood.example/lentilwood/internal/messenger"
)

// View is what is known of the fleet's routers when a stream is looked up.
type View struct {
	// EarliestMs is the earliest time at which the stream may have begun.
	EarliestMs int64
	// Rows are the rows of all routers; HasRows is false if they are not known.
	Rows    []RouterRow
	HasRows bool
	// Routers are the names of the routers that may have begun streams.
	Routers []string
	// Own says who looks the stream up, without its pools: the streams that it began itself are known.
	Own RouterRow
}

// Settled returns the version of a stream that began at earliestMs or later if all plans under which it
// may have begun agree on it.
func (h History) Settled(earliestMs int64, id StreamID) (version string, ok bool) {
	if len(h.Plans) == 0 || h.isTruncated(earliestMs) {
		return "", false
	}
	return h.agreed(earliestMs, id, h.Plans[0].Epoch, h.Epoch())
}

// OnlyVersion returns the version of all streams that began at earliestMs or later, if they have only one.
func (h History) OnlyVersion(earliestMs int64) (version string, ok bool) {
	version, ok = h.Settled(earliestMs, 0)
	for id := StreamID(1); ok && id < slotCount; id++ {
		other, settled := h.Settled(earliestMs, id)
		ok = settled && other == version
	}
	return version, ok
}

// Find returns the version at which a stream of the pool began, if it is known.
func (h History) Find(pool messenger.PoolID, id StreamID, v View) (version string, ok bool) {
	if version, ok = h.Settled(v.EarliestMs, id); ok || !v.HasRows || len(h.Plans) == 0 || h.isTruncated(v.EarliestMs) {
		return version, ok
	}
	byRouter := make(map[string][]*RouterRow)
	for _, name := range v.Routers {
		byRouter[name] = nil
	}
	for i := range v.Rows {
		row := &v.Rows[i]
		if version, ok = row.exception(pool, id); ok {
			return version, true
		}
		byRouter[row.Router] = append(byRouter[row.Router], row)
	}
	if v.Own.Router != "" {
		byRouter[v.Own.Router] = v.replaceOwn(byRouter[v.Own.Router], pool, h.Epoch())
	}
	first := h.Epoch()
	for _, rows := range byRouter {
		first = min(first, h.firstEpoch(pool, rows, v.EarliestMs))
	}
	return h.agreed(v.EarliestMs, id, first, h.Epoch())
}

// replaceOwn replaces this router's row by one that says what the router knows itself: none of its streams is open.
func (v *View) replaceOwn(rows []*RouterRow, pool messenger.PoolID, epoch uint64) []*RouterRow {
	own := v.Own
	own.Pools = map[messenger.PoolID]PoolStreams{pool: {Epoch: epoch}}
	rows = slices.DeleteFunc(rows, func(r *RouterRow) bool { return r.Incarnation == own.Incarnation })
	return append(rows, &own)
}

// firstEpoch returns the epoch of the earliest plan under which a router may have begun a stream that is
// none of its exceptions. An incarnation no longer matters if its successor is older than the stream.
func (h History) firstEpoch(pool messenger.PoolID, rows []*RouterRow, earliestMs int64) uint64 {
	oldest := h.Plans[0].Epoch
	if len(rows) == 0 {
		return oldest
	}
	slices.SortFunc(rows, func(a, b *RouterRow) int { return cmp.Compare(a.StartedMs, b.StartedMs) })
	first := h.Epoch()
	if !rows[0].First && rows[0].StartedMs >= earliestMs {
		first = oldest // there may have been one before, which stored nothing
	}
	for i, row := range rows {
		if i == len(rows)-1 || rows[i+1].StartedMs >= earliestMs {
			first = min(first, row.Pools[pool].Epoch)
		}
	}
	return max(first, oldest)
}

// agreed returns the version that the plans from one epoch to another, leaving out those that were out of use
// before the stream began, assign it to, if it is the same.
func (h History) agreed(earliestMs int64, id StreamID, from, to uint64) (version string, ok bool) {
	for i := range h.Plans {
		p := &h.Plans[i]
		if p.Epoch < from || p.Epoch > to || i+1 < len(h.Plans) && h.Plans[i+1].predecessorUsedUntil() < earliestMs {
			continue
		}
		if ok && p.Version(id) != version {
			return "", false
		}
		version, ok = p.Version(id), true
	}
	return version, ok
}

// isTruncated reports whether plans are missing under which a stream may have begun.
func (h History) isTruncated(earliestMs int64) bool {
	return h.Plans[0].Epoch > 1 && h.Plans[0].predecessorUsedUntil() >= earliestMs
}
