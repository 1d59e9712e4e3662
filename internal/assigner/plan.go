package assigner

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// ErrMalformed means that stored bytes are no history or row.
var ErrMalformed = merry.Sentinel("malformed plans of streams")

const (
	// slotCount is the number of equal parts of the range of hashes.
	slotCount = 64
	// maxSlotDrift is by how many slots a version's part may differ from its part of the capacity.
	maxSlotDrift = 4
	// maxPlans is how many plans a history keeps.
	maxPlans = 32
	// urgentInterval is the minimum time between two plans if streams are assigned to a version that has no
	// capacity left.
	urgentInterval = 100 * time.Millisecond
	// Lease is how long a router may begin streams by its plans after the moment at which they were the newest.
	Lease = time.Second
	// maxWriteDelay is how long after it was made a plan may be written: a call of the store whose answer is lost
	// may take effect seconds later.
	maxWriteDelay = 6 * time.Second
	// Lifetime is the longest time between the beginning of a stream and the last attempt to resume it,
	// whatever its caller waits.
	Lifetime = time.Minute
)

// StreamID identifies a stream. It is a hash of the id of the attempt that began it.
type StreamID uint64

// HashStream returns the id of the stream that an attempt began.
func HashStream(attemptID string) StreamID { return StreamID(xxhash.Sum64String(attemptID)) }

// Plan assigns the streams that begin in a pool to software versions.
type Plan struct {
	// Epoch numbers the plans of a pool, beginning with 1.
	Epoch uint64 `json:"epoch"`
	// SinceMs is when the plan was made.
	SinceMs int64 `json:"sinceMs"`
	// Versions are the software versions; Slots has an index into them for each part of the range of
	// hashes.
	Versions []string `json:"versions"`
	Slots    []byte   `json:"slots"`
	// PatienceMs is the longest that callers of the pool were known to wait when the plan was made.
	PatienceMs int64 `json:"patienceMs"`
	// learnedMs is when this router learnt of the plan, by when it was written at the latest; zero if that is not
	// known.
	learnedMs int64
}

// Version returns the version at which a stream begins.
func (p *Plan) Version(id StreamID) string { return p.Versions[p.Slots[id%slotCount]] }

// predecessorUsedUntil returns until when the plan before this one may be in use: by a router that read the plans just
// before this one was written, for a lease.
func (p *Plan) predecessorUsedUntil() int64 {
	writtenMs := p.SinceMs + maxWriteDelay.Milliseconds()
	if p.learnedMs > 0 {
		writtenMs = min(writtenMs, p.learnedMs)
	}
	return writtenMs + Lease.Milliseconds()
}

// slotsOf returns how many slots each version has.
func (p *Plan) slotsOf() map[string]int {
	counts := make(map[string]int)
	for _, i := range p.Slots {
		counts[p.Versions[i]]++
	}
	return counts
}

// valid reports whether the plan assigns each stream.
func (p *Plan) valid() bool {
	return p.Epoch > 0 && len(p.Slots) == slotCount && len(p.Versions) > 0 && int(slices.Max(p.Slots)) < len(p.Versions)
}

// History holds the plans of a pool, the oldest first. The zero value has none.
type History struct {
	Plans []Plan `json:"plans"`
}

// ParseHistory reads a history in JSON.
func ParseHistory(text []byte) (History, error) {
	var h History
	if err := json.Unmarshal(text, &h); err != nil {
		return History{}, merry.Prependf(ErrMalformed, "history: %v", err)
	}
	for i := range h.Plans {
		if !h.Plans[i].valid() || i > 0 && h.Plans[i].Epoch != h.Plans[i-1].Epoch+1 {
			return History{}, merry.Prependf(ErrMalformed, "plan %d of a history", i)
		}
	}
	return h, nil
}

// Epoch returns that of the newest plan, or zero if there is none.
func (h History) Epoch() uint64 {
	if len(h.Plans) == 0 {
		return 0
	}
	return h.newest().Epoch
}

// UsedSince reports whether a plan other than the newest one may have been in use at a time or later.
func (h History) UsedSince(ms int64) bool {
	return len(h.Plans) > 1 && h.newest().predecessorUsedUntil() >= ms
}

// Patience returns the longest that callers are known to wait, by the plans.
func (h History) Patience() time.Duration {
	longest := int64(0)
	for i := range h.Plans {
		longest = max(longest, h.Plans[i].PatienceMs)
	}
	return time.Duration(longest) * time.Millisecond
}

// plan returns the plan of an epoch, or nil.
func (h History) plan(epoch uint64) *Plan {
	i := slices.IndexFunc(h.Plans, func(p Plan) bool { return p.Epoch == epoch })
	if i < 0 {
		return nil
	}
	return &h.Plans[i]
}

func (h History) newest() *Plan { return &h.Plans[len(h.Plans)-1] }

// Demand is what a plan of a pool has to fit.
type Demand struct {
	// Capacity is the number of streams that the upstreams of each version can run at once.
	Capacity map[string]int
	// MinInterval is the minimum time for which a plan stays in force, unless it assigns streams to a version
	// without any capacity left.
	MinInterval time.Duration
	// Patience is the longest that callers of the pool are known to wait.
	Patience time.Duration
}

// Next returns the history with one more plan if the newest one no longer fits the demand, and whether it
// does.
func (h History) Next(nowMs int64, d Demand) (History, bool) {
	minInterval, targets := d.MinInterval, targetSlots(d.Capacity)
	if len(targets) == 0 {
		return h, false
	}
	next := Plan{Epoch: h.Epoch() + 1, SinceMs: nowMs, PatienceMs: max(d.Patience, h.Patience()).Milliseconds()}
	var old *Plan
	if len(h.Plans) > 0 {
		old = h.newest()
		fits, urgent := old.compare(targets)
		if urgent {
			minInterval = urgentInterval
		}
		if fits || nowMs-old.SinceMs < minInterval.Milliseconds() {
			return h, false
		}
		next.SinceMs = max(nowMs, old.SinceMs+1)
	}
	next.Versions, next.Slots = reassign(old, targets)
	plans := append(slices.Clone(h.Plans), next)
	return History{Plans: plans[max(0, len(plans)-maxPlans):]}, true
}

// compare reports whether the plan fits the targets and, if it doesn't, whether it assigns streams to a
// version without a target.
func (p *Plan) compare(targets map[string]int) (fits, urgent bool) {
	fits = true
	counts := p.slotsOf()
	for version := range counts {
		if targets[version] == 0 {
			return false, true
		}
	}
	for version, target := range targets {
		drift := counts[version] - target
		fits = fits && counts[version] > 0 && drift <= maxSlotDrift && drift >= -maxSlotDrift
	}
	return fits, false
}

// targetSlots divides the slots among the versions by their capacities. Each version with any gets one
// slot or more.
func targetSlots(capacity map[string]int) map[string]int {
	total := 0
	var versions []string
	for version, n := range capacity {
		if n > 0 {
			total += n
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	if len(versions) > slotCount {
		versions = versions[:slotCount]
	}
	targets := make(map[string]int, len(versions))
	left := slotCount
	for _, version := range versions {
		targets[version] = max(1, slotCount*capacity[version]/total)
		left -= targets[version]
	}
	// What rounding left over goes to the largest, and is taken from there.
	slices.SortStableFunc(versions, func(a, b string) int { return cmp.Compare(capacity[b], capacity[a]) })
	for i := 0; left != 0 && len(versions) > 0; i = (i + 1) % len(versions) {
		switch version := versions[i]; {
		case left > 0:
			targets[version]++
			left--
		case targets[version] > 1:
			targets[version]--
			left++
		}
	}
	return targets
}

// reassign returns the versions and slots of a plan with the target numbers of slots, which changes as
// few slots of the old plan as possible. A nil plan has none.
func reassign(old *Plan, targets map[string]int) (versions []string, slots []byte) {
	versions = slices.Sorted(maps.Keys(targets))
	left := maps.Clone(targets)
	slots = make([]byte, slotCount)
	var free []int
	for i := range slots {
		if old == nil || left[old.Versions[old.Slots[i]]] == 0 {
			free = append(free, i)
			continue
		}
		version := old.Versions[old.Slots[i]]
		left[version]--
		slots[i] = indexOf(versions, version)
	}
	for _, i := range free {
		version := versions[slices.IndexFunc(versions, func(v string) bool { return left[v] > 0 })]
		left[version]--
		slots[i] = indexOf(versions, version)
	}
	return versions, slots
}

func indexOf(versions []string, version string) byte {
	return byte(slices.Index(versions, version)) //nolint:gosec // there are at most slotCount versions
}
