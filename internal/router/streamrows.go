package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/assigner"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// The functions in this file read the rows about streams and write that of this router.

// saveRow writes this router's row if it does not name the newest plans, and some of them are so new
// that streams may have begun under others.
func (k *streamKeeper) saveRow(ctx context.Context) error {
	epochs, histories := k.Epochs(), k.Histories()
	k.mu.Lock()
	nowMs, _ := k.storeTime(k.clock.Uptime())
	recent, changed := nowMs-assigner.Lifetime.Milliseconds(), false
	for _, history := range histories {
		changed = changed || history.UsedSince(recent)
	}
	due := k.store != nil && changed && (!k.saved || k.savedEpochs < epochs)
	row := k.ownRow()
	outdated := k.stored.outdated(k.name)
	k.mu.Unlock()
	if !due {
		return nil
	}
	row.Pools = k.PoolStreams()
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	k.meter.Counter("lentilwood_stream_rows_written_total").Inc()
	if err := k.store.WriteRow(ctx, routerKey(k.name, k.incarnation), value, outdated); err != nil {
		return err
	}
	k.mu.Lock()
	k.saved, k.savedEpochs = true, epochs
	k.mu.Unlock()
	k.entry("row").WithFields(logrus.Fields{"epochs": epochs, "bytes": len(value), "removed": len(outdated)}).Info("plans confirmed, with the streams that they assign differently")
	return nil
}

// ownRow returns this router's row without its pools. The caller holds mu.
func (k *streamKeeper) ownRow() assigner.RouterRow {
	_, startedMs := k.storeTime(k.startedAt)
	return assigner.RouterRow{Router: k.name, Incarnation: k.incarnation, First: k.firstStart, StartedMs: startedMs}
}

// readSince reads the rows whose keys have a prefix unless they were read by a call made at an uptime or later.
func (k *streamKeeper) readSince(ctx context.Context, prefix string, since time.Duration) error {
	select {
	case k.reading <- struct{}{}:
		defer func() { <-k.reading }()
	case <-ctx.Done():
		return ctx.Err()
	}
	readAt, known, spacing := k.lastRead(prefix)
	if known && readAt >= since {
		return nil
	}
	if wait := readAt + spacing - k.clock.Uptime(); known && wait > 0 {
		select {
		case <-k.clock.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return k.read(ctx, prefix)
}

// lastRead returns when the rows with a prefix were last read, whether they were, and the minimum time to the next
// read for a caller.
func (k *streamKeeper) lastRead(prefix string) (readAt time.Duration, known bool, spacing time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	spacing = readSpacing + readSpacingPerRouter*time.Duration(len(k.fleet.names))
	if prefix == allRows {
		return k.rowsReadAt, k.hasRows, spacing
	}
	return k.plansReadAt, k.hasPlans, spacing
}

// read reads the rows whose keys have a prefix.
func (k *streamKeeper) read(ctx context.Context, prefix string) error {
	if k.store == nil {
		return nil
	}
	k.meter.Counter("lentilwood_stream_rows_reads_total").Inc()
	calledAt := k.clock.Uptime()
	rows, err := k.store.ReadRows(ctx, prefix)
	if err != nil {
		return err
	}
	stored, err := parseStreams(rows)
	if err != nil {
		k.entry("unreadable").WithError(err).Warn("row about streams ignored")
	}
	clock := timekeeper.NewRemoteClock(stored.nowMs, calledAt, k.clock.Uptime())
	k.keep(stored, prefix, calledAt, clock)
	k.mergeAll(stored.histories, sourceStore)
	if stored.lacksPlans {
		return err
	}
	k.confirm(clock.CalledMs())
	return nil
}

// keep replaces what is known of the rows that were read by a call, and of the plans unless a later call has
// read them.
func (k *streamKeeper) keep(stored storedStreams, prefix string, calledAt time.Duration, clock timekeeper.RemoteClock) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failing = false
	if prefix == allRows {
		k.stored.routers, k.stored.routerKeys = stored.routers, stored.routerKeys
		k.rowsReadAt, k.hasRows = calledAt, true
	}
	if k.hasPlans && calledAt < k.plansReadAt {
		return
	}
	stored.routers, stored.routerKeys = k.stored.routers, k.stored.routerKeys
	k.stored, k.plansReadAt, k.hasPlans, k.reload, k.storeClock = stored, calledAt, true, false, clock
}
