package router

import (
	"context"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/assigner"
	"lentilwood.example/lentilwood/internal/messenger"
)

// StreamStore keeps the rows by which routers find the software versions of streams, also once all
// routers have restarted: the plans of each pool, and what each router says of its streams.
type StreamStore interface {
	// ReadRows returns the rows whose keys have a prefix.
	ReadRows(ctx context.Context, prefix string) (StreamRows, error)
	// ReplaceRow replaces a row if it still has the given version, which is 0 for one that does not exist,
	// and returns ErrRowChanged if it has not. After another error it may be replaced or not.
	ReplaceRow(ctx context.Context, key string, version uint64, value []byte) error
	// WriteRow writes a row, whatever its version, and removes others.
	WriteRow(ctx context.Context, key string, value []byte, remove []string) error
}

// StreamRow is a row of a StreamStore.
type StreamRow struct {
	Key     string
	Value   []byte
	Version uint64
}

// StreamRows are rows of a StreamStore at a time of its monotonic clock, in milliseconds.
type StreamRows struct {
	Rows  []StreamRow
	NowMs int64
}

// ErrRowChanged means that a row of a StreamStore has another version than expected.
var ErrRowChanged = merry.Sentinel("row about streams was changed meanwhile")

// Beginnings of the keys of a StreamStore.
const (
	planKeyPrefix   = "plan/"
	routerKeyPrefix = "router/"
	// allRows is the prefix of all keys.
	allRows = ""
)

func planKey(pool messenger.PoolID) string { return planKeyPrefix + string(pool) }

func routerKey(name string, incarnation uint64) string {
	return fmt.Sprintf("%s%s/%d", routerKeyPrefix, name, incarnation)
}

// storedStreams is what a StreamStore holds.
type storedStreams struct {
	nowMs     int64
	histories map[messenger.PoolID]assigner.History
	// planVersions are the versions of the rows with plans.
	planVersions map[messenger.PoolID]uint64
	// lacksPlans is true if a row with plans can't be read.
	lacksPlans bool
	// routers are the rows of routers, routerKeys their keys.
	routers    []assigner.RouterRow
	routerKeys []string
}

// parseStreams reads the rows of a StreamStore. Rows that can't be read are reported together as an
// error beside the others.
func parseStreams(rows StreamRows) (storedStreams, error) {
	s := storedStreams{
		nowMs: rows.NowMs, histories: make(map[messenger.PoolID]assigner.History),
		planVersions: make(map[messenger.PoolID]uint64),
	}
	var unreadable error
	for _, row := range rows.Rows {
		if pool, ok := strings.CutPrefix(row.Key, planKeyPrefix); ok {
			history, err := assigner.ParseHistory(row.Value)
			if err != nil {
				unreadable, s.lacksPlans = merry.Prepend(err, row.Key), true
			}
			s.histories[messenger.PoolID(pool)], s.planVersions[messenger.PoolID(pool)] = history, row.Version
			continue
		}
		r, err := assigner.ParseRouterRow(row.Value)
		if err != nil {
			unreadable = merry.Prepend(err, row.Key)
			continue
		}
		s.routers, s.routerKeys = append(s.routers, r), append(s.routerKeys, row.Key)
	}
	return s, unreadable
}

// outdated returns the keys of the rows of a router's incarnations whose streams can't be resumed any
// more, as their successors are older than any stream that can. Incarnations follow each other by the store's clock;
// their numbers come from the router's time of day, which may have stepped back.
func (s *storedStreams) outdated(name string) []string {
	var keys []string
	for i, row := range s.routers {
		for _, other := range s.routers {
			if row.Router == name && other.Router == name && other.StartedMs > row.StartedMs &&
				s.nowMs-other.StartedMs > assigner.Lifetime.Milliseconds() {
				keys = append(keys, s.routerKeys[i])
				break
			}
		}
	}
	return keys
}
