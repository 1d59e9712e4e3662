package assigner

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/messenger"
)

// RouterRow is what one incarnation of a router stores about its streams.
type RouterRow struct {
	Router      string `json:"router"`
	Incarnation uint64 `json:"incarnation"`
	// StartedMs is when the incarnation started.
	StartedMs int64 `json:"startedMs"`
	// First is true if no incarnation before this one began streams.
	First bool `json:"first,omitempty"`
	// Pools holds the streams of each pool with a plan.
	Pools map[messenger.PoolID]PoolStreams `json:"pools"`
}

// PoolStreams says at which versions the streams of one router and pool began: where the plan of Epoch
// assigns them, unless they are exceptions, and where that of a later plan does once the router has
// learnt of it.
type PoolStreams struct {
	Epoch uint64 `json:"epoch"`
	// Exceptions holds, by version, the streams that began under earlier plans at another version than
	// that of Epoch assigns.
	Exceptions map[string]StreamSet `json:"exceptions,omitempty"`
}

// ParseRouterRow reads a row in JSON.
func ParseRouterRow(text []byte) (RouterRow, error) {
	var r RouterRow
	if err := json.Unmarshal(text, &r); err != nil {
		return RouterRow{}, merry.Prependf(ErrMalformed, "row of a router: %v", err)
	}
	if r.Router == "" {
		return RouterRow{}, merry.Prepend(ErrMalformed, "row without a router")
	}
	return r, nil
}

// exception returns the version of a stream that is an exception.
func (r *RouterRow) exception(pool messenger.PoolID, id StreamID) (version string, ok bool) {
	for version, set := range r.Pools[pool].Exceptions {
		if set.contains(id) {
			return version, true
		}
	}
	return "", false
}

// streamBytes is the size of a stream in a StreamSet.
const streamBytes = 8

// StreamSet is a sorted set of streams, each in big endian.
type StreamSet []byte

func newStreamSet(ids []StreamID) StreamSet {
	slices.Sort(ids)
	s := make(StreamSet, 0, streamBytes*len(ids))
	for _, id := range ids {
		s = binary.BigEndian.AppendUint64(s, uint64(id))
	}
	return s
}

func (s StreamSet) contains(id StreamID) bool {
	for rest := s; len(rest) >= streamBytes; rest = rest[streamBytes:] {
		if StreamID(binary.BigEndian.Uint64(rest)) == id {
			return true
		}
	}
	return false
}
