// Package leaser holds a lease with a fencing number in the platform's table, so that only
// one router at a time does a job.
//
// Clocks need not be synchronized. A holder measures its lease from before it requested it;
// a contender measures from after it first saw the row's current version, and waits
// somewhat longer. So a holder whose process runs knows that its lease has expired before
// any other router can take it. A holder that is paused between checking the lease and
// sending an order does not know. Therefore each takeover increments the fencing number,
// every order carries it, and upstreams that check it reject orders of an earlier holder.
// For upstreams that do not check it, Acquired.QuietUntil says how long a new holder must
// wait before it sends orders.
//
// # Usage
//
//	l := leaser.New(leaser.Config{Self: "r1", Name: "orders/assistant", Seed: seed})
//	l.Handle(now, leaser.Want{Wanted: true})
//	for _, a := range l.Handle(clock.Now(), leaser.Tick{}) {
//		switch a := a.(type) {
//		case leaser.ReadRow:  // store.Read(ctx, leaser.Table, a.Key), then RowRead
//		case leaser.WriteRow: // store.Commit(ctx, []storer.Op{a.Op}), then RowWritten
//		case leaser.Acquired: // start the job
//		case leaser.Lost:     // stop it
//		}
//	}
//	if p, ok := l.Held(clock.Now()); ok { ... } // before each order
package leaser

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// Table is the store table that holds one row for each lease.
const Table = "leases"

// Intervals and timeouts of a lease.
const (
	// TickInterval is the longest time between two Ticks.
	TickInterval = 100 * time.Millisecond
	// DefaultTTL is how long a lease lasts without renewal.
	DefaultTTL = 30 * time.Second
	// clockMargin is how much longer than the TTL a contender waits, for clocks that run at
	// different rates.
	clockMargin = time.Second
	// retryInterval is the average delay before a failed call is repeated.
	retryInterval = time.Second
	// answerTimeout is how long to wait for a call's answer.
	answerTimeout = 10 * time.Second
)

// Config holds the settings of a Leaser.
type Config struct {
	Self messenger.RouterID
	// Name is the name of the lease.
	Name string
	// TTL is how long the lease lasts without renewal; zero means DefaultTTL. It must be the
	// same on every router.
	TTL time.Duration
	// Seed distinguishes this start of the router from all others.
	Seed uint64
}

// Lease is the right to act. Fence is its fencing number.
type Lease struct {
	Fence uint64
	// Until is when the lease expires on this router's clock unless it is renewed.
	Until time.Time
}

// rowValue is the stored value of a row.
type rowValue struct {
	Holder messenger.RouterID `json:"holder"`
	Fence  uint64             `json:"fence"`
	// Token is unique to each write.
	Token string `json:"token"`
}

// Leaser is the logic of one lease. It does no I/O and is not safe for concurrent use. A copy
// is independent of the original.
type Leaser struct {
	cfg    Config
	wanted bool

	held  bool
	lease Lease

	// version is the row's version, and versionSeenAt is when it was first seen.
	version       uint64
	versionSeenAt time.Time

	// lastCall is the number of the last call, so that late answers to earlier ones are
	// ignored.
	lastCall uint64
	nextCall time.Time

	// lastWritten is the value of the last requested write.
	lastWritten rowValue
	// outcomeUnknown is true while the outcome of writes is not known. All of them were
	// requested at or after firstWriteAt and require the row to be at baseVersion, so at most
	// one of them took effect.
	outcomeUnknown bool
	baseVersion    uint64
	firstWriteAt   time.Time
}

// New returns a Leaser that does not want the lease yet.
func New(cfg Config) *Leaser {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	return &Leaser{cfg: cfg}
}

// Held returns the lease and whether it is held and has not expired.
func (l *Leaser) Held(now time.Time) (Lease, bool) {
	return l.lease, l.held && now.Before(l.lease.Until)
}

// Handle processes one event and returns the actions to carry out.
func (l *Leaser) Handle(now time.Time, e Event) []Action {
	actions := l.expireLease(now)
	switch e := e.(type) {
	case Tick:
		actions = append(actions, l.tick(now)...)
	case SetWanted:
		actions = append(actions, l.setWanted(now, e.Wanted)...)
	case RowRead:
		actions = append(actions, l.rowRead(now, e)...)
	case RowWritten:
		actions = append(actions, l.rowWritten(now, e)...)
	}
	return actions
}

// setWanted starts or ends the interest in the lease. A lease that is held is given up here at
// once; the row is released after the next read.
func (l *Leaser) setWanted(now time.Time, wanted bool) []Action {
	if l.wanted == wanted {
		return nil
	}
	l.wanted, l.nextCall = wanted, now
	if wanted || !l.held {
		return nil
	}
	return l.loseLease()
}

// expireLease gives up a lease that was not renewed in time.
func (l *Leaser) expireLease(now time.Time) []Action {
	if !l.held || now.Before(l.lease.Until) {
		return nil
	}
	return l.loseLease()
}

func (l *Leaser) loseLease() []Action {
	l.held = false
	return []Action{Lost{Fence: l.lease.Fence}}
}

// tick reads the row when a read is due.
func (l *Leaser) tick(now time.Time) []Action {
	if now.Before(l.nextCall) || !l.wanted && l.lastWritten.Holder == "" {
		return nil
	}
	l.lastCall++
	l.nextCall = now.Add(answerTimeout)
	return []Action{ReadRow{Key: l.cfg.Name, Call: l.lastCall}}
}

// rowRead examines the row and takes, renews or releases the lease.
func (l *Leaser) rowRead(now time.Time, e RowRead) []Action {
	if e.Call != l.lastCall {
		return nil
	}
	l.nextCall = now.Add(l.jitter(retryInterval))
	if errors.Is(e.Err, storer.ErrNotFound) {
		e.Row, e.Err = storer.Row{}, nil
	}
	var v rowValue
	if e.Err != nil || e.Row.Version != 0 && json.Unmarshal(e.Row.Value, &v) != nil {
		return nil
	}
	if e.Row.Version != l.version || l.versionSeenAt.IsZero() {
		l.version, l.versionSeenAt = e.Row.Version, now
	}
	writeApplied := l.outcomeUnknown && l.version != l.baseVersion
	l.outcomeUnknown = l.outcomeUnknown && !writeApplied
	if l.isOwn(v) {
		return l.renewOrRelease(now, v, writeApplied)
	}
	var actions []Action
	if l.held {
		actions = l.loseLease()
	}
	if !l.wanted {
		l.lastWritten = rowValue{}
		return actions
	}
	if v.Holder == "" || now.Sub(l.versionSeenAt) >= l.cfg.TTL+clockMargin {
		actions = append(actions, l.write(now, l.cfg.Self, v.Fence+1))
	}
	return actions
}

// isOwn reports whether a value was written by this router since its last start.
func (l *Leaser) isOwn(v rowValue) bool {
	return v.Holder == l.cfg.Self && strings.HasPrefix(v.Token, l.tokenPrefix())
}

func (l *Leaser) tokenPrefix() string { return fmt.Sprintf("%s-%x-", l.cfg.Self, l.cfg.Seed) }

// renewOrRelease renews a lease that the row assigns to this router when renewal is due, or
// releases it if it is no longer wanted.
func (l *Leaser) renewOrRelease(now time.Time, v rowValue, writeApplied bool) []Action {
	if !l.wanted {
		return []Action{l.write(now, "", v.Fence)}
	}
	var actions []Action
	if writeApplied {
		actions = l.confirm(now, v.Fence)
	}
	if renewAt := l.firstWriteAt.Add(l.cfg.TTL / 3); l.held && !l.outcomeUnknown && now.Before(renewAt) {
		l.nextCall = renewAt
		return actions
	}
	return append(actions, l.write(now, l.cfg.Self, v.Fence))
}

// write returns a write of the row, on condition that it has not changed since it was read.
func (l *Leaser) write(now time.Time, holder messenger.RouterID, fence uint64) Action {
	l.lastCall++
	l.nextCall = now.Add(answerTimeout)
	l.lastWritten = rowValue{Holder: holder, Fence: fence, Token: l.tokenPrefix() + strconv.FormatUint(l.lastCall, 10)}
	if !l.outcomeUnknown {
		l.outcomeUnknown, l.baseVersion, l.firstWriteAt = true, l.version, now
	}
	data, err := json.Marshal(l.lastWritten)
	if err != nil {
		panic(err) // all fields can be marshalled
	}
	return WriteRow{Call: l.lastCall, Op: storer.Op{Table: Table, Key: l.cfg.Name, Value: data, IfVersion: l.version}}
}

// rowWritten applies the outcome of a write. An unknown outcome is left to the next read.
func (l *Leaser) rowWritten(now time.Time, e RowWritten) []Action {
	if e.Call != l.lastCall {
		return nil
	}
	l.nextCall = now.Add(l.jitter(retryInterval))
	if e.Err != nil {
		return nil
	}
	if l.lastWritten.Holder == "" {
		l.lastWritten, l.outcomeUnknown = rowValue{}, false
		return nil
	}
	return l.confirm(now, l.lastWritten.Fence)
}

// confirm records the lease as held. Its TTL counts from before the first write whose outcome
// was unknown, since that write may be the one that took effect.
func (l *Leaser) confirm(now time.Time, fence uint64) []Action {
	l.outcomeUnknown = false
	until := l.firstWriteAt.Add(l.cfg.TTL)
	if !now.Before(until) || !l.wanted {
		return nil
	}
	acquired := !l.held || l.lease.Fence != fence
	l.held = true
	l.lease = Lease{Fence: fence, Until: until}
	l.nextCall = l.firstWriteAt.Add(l.cfg.TTL / 3)
	if !acquired {
		return nil
	}
	return []Action{Acquired{Lease: l.lease, QuietUntil: now.Add(l.cfg.TTL + clockMargin)}}
}

// jitter returns a duration between half of d and one and a half of d. It is reproducible for
// the same settings.
func (l *Leaser) jitter(d time.Duration) time.Duration {
	h := xxhash.Sum64String(fmt.Sprint(l.cfg.Self, l.cfg.Seed, l.lastCall))
	return d/2 + time.Duration(h%uint64(d))
}
