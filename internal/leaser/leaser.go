// Package leaser keeps a lease with a fencing number in the platform's table,
// so that one router at a time does a job.
//
// No clocks need to agree. A holder counts its lease from before it asked for
// it; a contender counts from after it first saw the row's present version,
// and waits somewhat longer. So a holder whose process runs knows that its
// lease has lapsed before anybody else can take it. A holder that is paused
// between looking and acting does not: therefore each takeover raises the
// fencing number, every order carries it, and upstreams that check it refuse
// orders of an earlier holder. For upstreams that do not check, Acquired.Quiet
// says until when a new holder keeps still.
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

// Table is the table that holds one row for each lease.
const Table = "leases"

// Times of a lease.
const (
	// TickInterval is the longest time between two Ticks.
	TickInterval = 100 * time.Millisecond
	// DefaultTTL is how long a lease lasts without renewal.
	DefaultTTL = 30 * time.Second
	// margin is how much longer a contender waits, for clocks that run at
	// different rates.
	margin = time.Second
	// retryInterval is the time before a failed call is made again.
	retryInterval = time.Second
	// answerTimeout is when a call without an answer is given up.
	answerTimeout = 10 * time.Second
)

// Config are the settings of a Leaser.
type Config struct {
	Self messenger.RouterID
	// Name is the name of the lease.
	Name string
	// TTL is how long it lasts without renewal; zero means DefaultTTL. It must
	// be the same on every router.
	TTL time.Duration
	// Seed tells this start of the router from any other.
	Seed uint64
}

// Lease is the right to act. Fence is its fencing number.
type Lease struct {
	Fence uint64
	// Until is when it lapses on this router's clock unless it is renewed.
	Until time.Time
}

// value is the value of the row.
type value struct {
	Holder messenger.RouterID `json:"holder"`
	Fence  uint64             `json:"fence"`
	// Token is unlike that of any other write.
	Token string `json:"token"`
}

// Leaser is the decision logic of one lease. It does no I/O and is not safe
// for concurrent use. A copy is independent of the original.
type Leaser struct {
	cfg    Config
	wanted bool

	held  bool
	lease Lease

	// version and seen are the row's version and when it was first seen.
	version uint64
	seen    time.Time

	// call numbers the calls, so that late answers are told apart.
	call uint64
	next time.Time

	// written is the last value written.
	written value
	// open is true while the outcome of writes is not known. All of them were
	// asked for after since and on top of openVersion, so that one of them
	// took effect at most.
	open        bool
	openVersion uint64
	since       time.Time
}

// New returns a Leaser that does not want the lease yet.
func New(cfg Config) *Leaser {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	return &Leaser{cfg: cfg}
}

// Held returns the lease if it is held and has not lapsed.
func (l *Leaser) Held(now time.Time) (Lease, bool) {
	return l.lease, l.held && now.Before(l.lease.Until)
}

// Handle takes one event and returns what is to be done.
func (l *Leaser) Handle(now time.Time, e Event) []Action {
	actions := l.lapse(now)
	switch e := e.(type) {
	case Tick:
		actions = append(actions, l.tick(now)...)
	case SetWanted:
		actions = append(actions, l.want(now, e.Wanted)...)
	case RowRead:
		actions = append(actions, l.rowRead(now, e)...)
	case RowWritten:
		actions = append(actions, l.rowWritten(now, e)...)
	}
	return actions
}

// want starts or ends the interest in the lease. A lease that is held is given
// up at once here; the row says so after the next read.
func (l *Leaser) want(now time.Time, wanted bool) []Action {
	if l.wanted == wanted {
		return nil
	}
	l.wanted, l.next = wanted, now
	if wanted || !l.held {
		return nil
	}
	return l.lose()
}

// lapse ends a lease that was not renewed in time.
func (l *Leaser) lapse(now time.Time) []Action {
	if !l.held || now.Before(l.lease.Until) {
		return nil
	}
	return l.lose()
}

func (l *Leaser) lose() []Action {
	l.held = false
	return []Action{Lost{Fence: l.lease.Fence}}
}

// tick reads the row when it is time.
func (l *Leaser) tick(now time.Time) []Action {
	if now.Before(l.next) || !l.wanted && l.written.Holder == "" {
		return nil
	}
	l.call++
	l.next = now.Add(answerTimeout)
	return []Action{ReadRow{Key: l.cfg.Name, Call: l.call}}
}

// rowRead looks at the row and takes, renews or releases the lease.
func (l *Leaser) rowRead(now time.Time, e RowRead) []Action {
	if e.Call != l.call {
		return nil
	}
	l.next = now.Add(l.jitter(retryInterval))
	if errors.Is(e.Err, storer.ErrNotFound) {
		e.Row, e.Err = storer.Row{}, nil
	}
	var v value
	if e.Err != nil || e.Row.Version != 0 && json.Unmarshal(e.Row.Value, &v) != nil {
		return nil
	}
	if e.Row.Version != l.version || l.seen.IsZero() {
		l.version, l.seen = e.Row.Version, now
	}
	landed := l.open && l.version != l.openVersion
	l.open = l.open && !landed
	if l.mine(v) {
		return l.keep(now, v, landed)
	}
	var actions []Action
	if l.held {
		actions = l.lose()
	}
	if !l.wanted {
		l.written = value{}
		return actions
	}
	if v.Holder == "" || now.Sub(l.seen) >= l.cfg.TTL+margin {
		actions = append(actions, l.write(now, l.cfg.Self, v.Fence+1))
	}
	return actions
}

// mine reports whether a value was written by this start of this router.
func (l *Leaser) mine(v value) bool {
	return v.Holder == l.cfg.Self && strings.HasPrefix(v.Token, l.token())
}

func (l *Leaser) token() string { return fmt.Sprintf("%s-%x-", l.cfg.Self, l.cfg.Seed) }

// keep goes on with a lease that the row gives to this router.
func (l *Leaser) keep(now time.Time, v value, landed bool) []Action {
	if !l.wanted {
		return []Action{l.write(now, "", v.Fence)}
	}
	var actions []Action
	if landed {
		actions = l.confirm(now, v.Fence)
	}
	if renew := l.since.Add(l.cfg.TTL / 3); l.held && !l.open && now.Before(renew) {
		l.next = renew
		return actions
	}
	return append(actions, l.write(now, l.cfg.Self, v.Fence))
}

// write asks for the row to be written, if it still is as it was read.
func (l *Leaser) write(now time.Time, holder messenger.RouterID, fence uint64) Action {
	l.call++
	l.next = now.Add(answerTimeout)
	l.written = value{Holder: holder, Fence: fence, Token: l.token() + strconv.FormatUint(l.call, 10)}
	if !l.open {
		l.open, l.openVersion, l.since = true, l.version, now
	}
	data, err := json.Marshal(l.written)
	if err != nil {
		panic(err) // every field can be written
	}
	return WriteRow{Call: l.call, Op: storer.Op{Table: Table, Key: l.cfg.Name, Value: data, IfVersion: l.version}}
}

// rowWritten takes the outcome of a write. Whatever is not certain is left to
// the next read.
func (l *Leaser) rowWritten(now time.Time, e RowWritten) []Action {
	if e.Call != l.call {
		return nil
	}
	l.next = now.Add(l.jitter(retryInterval))
	if e.Err != nil {
		return nil
	}
	if l.written.Holder == "" {
		l.written, l.open = value{}, false
		return nil
	}
	return l.confirm(now, l.written.Fence)
}

// confirm takes the lease for held. It counts from before the first write
// whose outcome was open.
func (l *Leaser) confirm(now time.Time, fence uint64) []Action {
	l.open = false
	until := l.since.Add(l.cfg.TTL)
	if !now.Before(until) || !l.wanted {
		return nil
	}
	fresh := !l.held || l.lease.Fence != fence
	l.held = true
	l.lease = Lease{Fence: fence, Until: until}
	l.next = l.since.Add(l.cfg.TTL / 3)
	if !fresh {
		return nil
	}
	return []Action{Acquired{Lease: l.lease, QuietUntil: now.Add(l.cfg.TTL + margin)}}
}

// jitter returns a time between half of d and one and a half of d, the same on
// every run.
func (l *Leaser) jitter(d time.Duration) time.Duration {
	h := xxhash.Sum64String(fmt.Sprint(l.cfg.Self, l.cfg.Seed, l.call))
	return d/2 + time.Duration(h%uint64(d))
}
