package assigner

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Assigner holds the plans of all pools and the streams that one router has begun or resumed. It is safe
// for concurrent use. The zero value has no plans.
type Assigner struct {
	mu        sync.Mutex
	histories map[messenger.PoolID]History
	streams   map[streamKey]*stream
}

type streamKey struct {
	pool messenger.PoolID
	id   StreamID
}

// stream is a stream that this router has begun or resumed.
type stream struct {
	version string
	// attempts is the number of attempts in progress.
	attempts int
	// expiresAt is until when the stream may be resumed, once an attempt has ended; zero while the caller
	// has none of its events.
	expiresAt time.Time
}

// Begin assigns a new stream to a version. It returns false if the pool has no plan yet. End must follow.
func (a *Assigner) Begin(pool messenger.PoolID, id StreamID) (version string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.histories[pool]
	if len(h.Plans) == 0 {
		return "", false
	}
	version = h.newest().Version(id)
	a.add(streamKey{pool, id}, version)
	return version, true
}

// Resume records an attempt to resume a stream at its version. End must follow.
func (a *Assigner) Resume(pool messenger.PoolID, id StreamID, version string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(streamKey{pool, id}, version)
}

func (a *Assigner) add(key streamKey, version string) {
	if a.streams == nil {
		a.streams = make(map[streamKey]*stream)
	}
	s, ok := a.streams[key]
	if !ok {
		s = &stream{version: version}
		a.streams[key] = s
	}
	s.attempts++
}

// End records that an attempt at a stream has ended and whether its caller was sent any of its events. The caller may
// resume the stream while it waits, until then at the longest, also after its end was sent: that may not have arrived.
func (a *Assigner) End(pool messenger.PoolID, id StreamID, delivered bool, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := streamKey{pool, id}
	s, ok := a.streams[key]
	if !ok {
		return
	}
	s.attempts--
	switch {
	case delivered:
		s.expiresAt = until
	case s.attempts == 0 && s.expiresAt.IsZero():
		delete(a.streams, key)
	}
}

// Expire forgets the streams that can't be resumed any more.
func (a *Assigner) Expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.streams, func(_ streamKey, s *stream) bool {
		return s.attempts == 0 && !now.Before(s.expiresAt)
	})
}

// Version returns the version of a stream that this router has begun or resumed.
func (a *Assigner) Version(pool messenger.PoolID, id StreamID) (version string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s, ok := a.streams[streamKey{pool, id}]; ok {
		return s.version, true
	}
	return "", false
}

// Merge takes over a history that is newer than the known one, and reports whether it is. learnedMs is the latest
// time that the store's clock can show, or zero.
func (a *Assigner) Merge(pool messenger.PoolID, h History, learnedMs int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.histories[pool]
	if h.Epoch() <= known.Epoch() {
		return false
	}
	h.Plans = slices.Clone(h.Plans)
	for i := range h.Plans {
		h.Plans[i].learnedMs = learnedMs
		if p := known.plan(h.Plans[i].Epoch); p != nil {
			h.Plans[i].learnedMs = p.learnedMs
		}
	}
	if a.histories == nil {
		a.histories = make(map[messenger.PoolID]History)
	}
	a.histories[pool] = h
	return true
}

// History returns the plans of a pool.
func (a *Assigner) History(pool messenger.PoolID) History {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.histories[pool]
}

// Histories returns the plans of all pools.
func (a *Assigner) Histories() map[messenger.PoolID]History {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.histories)
}

// Checksum identifies the newest plans of all pools. Two routers with the same one know the same plans.
func (a *Assigner) Checksum() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	var sum uint64
	for pool, h := range a.histories {
		sum += xxhash.Sum64String(fmt.Sprintf("%s/%d", pool, h.Epoch()))
	}
	return uint32(sum) //nolint:gosec // its lower half
}

// Epochs returns the sum of the newest epochs of all pools. Of two routers, the one with the lower sum
// lacks plans.
func (a *Assigner) Epochs() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := uint64(0)
	for _, h := range a.histories {
		sum += h.Epoch()
	}
	return sum
}

// PoolStreams returns what a RouterRow says of the streams of each pool.
func (a *Assigner) PoolStreams() map[messenger.PoolID]PoolStreams {
	a.mu.Lock()
	defer a.mu.Unlock()
	ids := make(map[messenger.PoolID]map[string][]StreamID)
	for key, s := range a.streams {
		h := a.histories[key.pool]
		if len(h.Plans) == 0 || h.newest().Version(key.id) == s.version {
			continue
		}
		if ids[key.pool] == nil {
			ids[key.pool] = make(map[string][]StreamID)
		}
		ids[key.pool][s.version] = append(ids[key.pool][s.version], key.id)
	}
	pools := make(map[messenger.PoolID]PoolStreams, len(a.histories))
	for pool, h := range a.histories {
		p := PoolStreams{Epoch: h.Epoch(), Exceptions: make(map[string]StreamSet)}
		for version, streams := range ids[pool] {
			p.Exceptions[version] = newStreamSet(streams)
		}
		pools[pool] = p
	}
	return pools
}
