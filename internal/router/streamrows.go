package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/assigner"
)

// The functions in this file read the rows about streams and write that of this router.

// saveRow writes this router's row if it does not name the newest plans, and some of them are so new
// that streams may have begun under others.
func (k *streamKeeper) saveRow(ctx context.Context) error {
	row := assigner.RouterRow{Router: k.name, Incarnation: k.incarnation, First: k.firstStart}
	epochs, histories := k.Epochs(), k.Histories()
	k.mu.Lock()
	recent, changed := k.storeTime(k.clock.Now())-assigner.Lifetime.Milliseconds(), false
	for _, history := range histories {
		changed = changed || history.ChangedSince(recent)
	}
	due := k.store != nil && changed && (!k.saved || k.savedEpochs < epochs)
	row.StartedMs = k.storeTime(k.startedAt)
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

// read reads the rows whose keys have a prefix unless they were read within the last maxAge.
func (k *streamKeeper) read(ctx context.Context, prefix string, maxAge time.Duration) error {
	select {
	case k.reading <- struct{}{}:
		defer func() { <-k.reading }()
	case <-ctx.Done():
		return ctx.Err()
	}
	k.mu.Lock()
	readAt := k.readAt
	if prefix == allRows {
		readAt = k.rowsReadAt
	}
	fresh := !readAt.IsZero() && k.clock.Now().Sub(readAt) < maxAge
	k.mu.Unlock()
	if fresh || k.store == nil {
		return nil
	}
	k.meter.Counter("lentilwood_stream_rows_reads_total").Inc()
	rows, err := k.store.ReadRows(ctx, prefix)
	if err != nil {
		return err
	}
	stored, err := parseStreams(rows)
	if err != nil {
		k.entry("unreadable").WithError(err).Warn("row about streams ignored")
	}
	k.keep(stored, prefix)
	k.mergeAll(stored.histories, sourceStore)
	return nil
}

// keep replaces what is known of the rows that were read.
func (k *streamKeeper) keep(stored storedStreams, prefix string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if prefix == allRows {
		k.rowsReadAt = now
	} else {
		stored.routers, stored.routerKeys = k.stored.routers, k.stored.routerKeys
	}
	k.stored, k.readAt, k.reload = stored, now, false
}
