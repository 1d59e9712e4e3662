package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/meter"
	"lentilwood.example/lentilwood/internal/quarantiner"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// faultyEvidence is an EvidenceStore whose next calls fail.
type faultyEvidence struct {
	clock  timekeeper.Clock
	start  time.Time
	row    EvidenceRow
	writes int
	// refused calls do nothing, lost ones are done and not answered.
	refused, lost int
	// beforeSave, if set, is called once, before a row is replaced.
	beforeSave func()
}

var errFault = merry.Sentinel("no answer")

func (s *faultyEvidence) Load(context.Context) (EvidenceRow, error) {
	if s.refused > 0 {
		s.refused--
		return EvidenceRow{}, errFault
	}
	s.row.NowMs = s.clock.Now().Sub(s.start).Milliseconds()
	return s.row, nil
}

func (s *faultyEvidence) Save(_ context.Context, version uint64, value []byte) error {
	if f := s.beforeSave; f != nil {
		s.beforeSave = nil
		f()
	}
	if version != s.row.Version {
		return ErrEvidenceChanged
	}
	s.row.Version++
	s.row.Value = slices.Clone(value)
	s.writes++
	if s.lost > 0 {
		s.lost--
		return errFault
	}
	return nil
}

// newTestKeeper returns the keeper of a new router.
func newTestKeeper(s *faultyEvidence, clock timekeeper.Clock) *evidenceKeeper {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := meter.New(clock, 1)
	q := newQuarantine(clock, log, m, loader.Quarantine{})
	q.onBegin = func() {}
	k := newEvidenceKeeper(HostedConfig{Evidence: s, Clock: clock, Log: log}, q, m, 1)
	q.onVerdicts = k.handleChanges
	return k
}

func newFaultyEvidence() (*faultyEvidence, *timekeeper.Manual) {
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	return &faultyEvidence{clock: clock, start: clock.Now().Add(-time.Hour)}, clock
}

// confirm lets the router of a keeper learn of a verdict.
func (k *evidenceKeeper) confirm(part messenger.ContentID) {
	var m quarantiner.Message
	for i := range 3 {
		m.Crashes = append(m.Crashes, quarantiner.Crash{
			ID:       quarantiner.CrashID{Upstream: messenger.NameHash(i), Process: uint64(part)},
			Suspects: []quarantiner.Suspect{{Part: part, Account: 7, Requests: 1, Begun: true, Confirmed: true}},
		})
	}
	k.quarantine.merge(m)
}

func (k *evidenceKeeper) mustSync(t *testing.T, want error) {
	t.Helper()
	if err := k.sync(context.Background()); !errors.Is(err, want) {
		t.Fatalf("sync: %v, want %v", err, want)
	}
}

func (k *evidenceKeeper) parts() string { return fmt.Sprint(k.quarantine.quarantined()) }

// TestEvidenceSurvivesFaults checks that after each fault of the store the verdict ends up in the
// row, written once, and that a router that starts later has it.
func TestEvidenceSurvivesFaults(t *testing.T) {
	tests := []struct {
		name   string
		fault  func(s *faultyEvidence, other *evidenceKeeper)
		want   error
		parts  string
		writes int
	}{
		{"none", func(*faultyEvidence, *evidenceKeeper) {}, nil, "[1]", 1},
		{"refused", func(s *faultyEvidence, _ *evidenceKeeper) { s.refused = 1 }, errFault, "[1]", 1},
		{"answer lost", func(s *faultyEvidence, _ *evidenceKeeper) { s.lost = 1 }, errFault, "[1]", 1},
		{"unreadable row", func(s *faultyEvidence, _ *evidenceKeeper) { s.row = EvidenceRow{Value: []byte("{"), Version: 3} }, nil, "[1]", 1},
		{"another verdict meanwhile", func(s *faultyEvidence, other *evidenceKeeper) {
			s.beforeSave = func() {
				other.confirm(2)
				other.clock.(*timekeeper.Manual).Advance(saveSpread)
				_ = other.sync(context.Background())
			}
		}, ErrEvidenceChanged, "[1 2]", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, clock := newFaultyEvidence()
			k := newTestKeeper(s, clock)
			k.mustSync(t, nil)
			tt.fault(s, newTestKeeper(s, clock))
			k.confirm(1)
			if got := k.parts(); got != "[1]" {
				t.Errorf("quarantined %s before the row is written, want [1]", got)
			}
			clock.Advance(saveSpread)
			k.mustSync(t, tt.want)
			if tt.want != nil {
				k.mustSync(t, nil)
			}
			k.mustSync(t, nil)
			later := newTestKeeper(s, clock)
			later.mustSync(t, nil)
			if got := later.parts(); got != tt.parts || s.writes != tt.writes || k.unsaved.Load() {
				t.Errorf("quarantined %s after %d writes, unsaved %v, want %s after %d", got, s.writes, k.unsaved.Load(), tt.parts, tt.writes)
			}
		})
	}
}

// TestClearedPartLeavesTheRow has a quarantine end by an output. The row must not bring it back.
func TestClearedPartLeavesTheRow(t *testing.T) {
	s, clock := newFaultyEvidence()
	k := newTestKeeper(s, clock)
	k.confirm(1)
	clock.Advance(saveSpread)
	k.mustSync(t, nil)
	clock.Advance(2 * time.Minute)
	k.quarantine.Observe(quarantiner.Output{Parts: []messenger.ContentID{1}})
	clock.Advance(saveSpread)
	k.mustSync(t, nil)
	later := newTestKeeper(s, clock)
	later.mustSync(t, nil)
	if k.parts() != "[]" || later.parts() != "[]" || s.writes != 2 {
		t.Errorf("quarantined %s and %s after %d writes, want none after 2", k.parts(), later.parts(), s.writes)
	}
}

// TestExpiredEvidenceIsNotWritten checks that the end of a quarantine by time costs no write.
func TestExpiredEvidenceIsNotWritten(t *testing.T) {
	s, clock := newFaultyEvidence()
	k := newTestKeeper(s, clock)
	k.confirm(1)
	clock.Advance(saveSpread)
	k.mustSync(t, nil)
	clock.Advance(16 * time.Minute)
	k.quarantine.tick()
	if k.parts() != "[]" || k.unsaved.Load() {
		t.Errorf("quarantined %s, unsaved %v after 16 minutes, want none and nothing to write", k.parts(), k.unsaved.Load())
	}
}

// TestVerdictDuringWritingStaysDue guards against a verdict that is lost because it came while the
// one before was being written.
func TestVerdictDuringWritingStaysDue(t *testing.T) {
	s, clock := newFaultyEvidence()
	k := newTestKeeper(s, clock)
	k.confirm(1)
	clock.Advance(saveSpread)
	s.beforeSave = func() { k.confirm(2) }
	k.mustSync(t, nil)
	clock.Advance(saveSpread)
	k.mustSync(t, nil)
	later := newTestKeeper(s, clock)
	later.mustSync(t, nil)
	if got := later.parts(); got != "[1 2]" {
		t.Errorf("stored %s, want [1 2]", got)
	}
}

// TestFewRoutersWriteAVerdict checks for fleets of each size that some routers write a verdict at
// once and that their number does not grow with the fleet.
func TestFewRoutersWriteAVerdict(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, routers := range []int{1, 8, 40, 400} {
		const rounds = 1000
		first, spare, none := 0, 0, 0
		for range rounds {
			before := first
			for range routers {
				switch delay, mine := saveDelay(rng.Float64(), routers); {
				case mine && delay <= saveSpread:
					first++
				case mine:
					spare++
				}
			}
			if first == before {
				none++
			}
		}
		if want := min(routers, firstSavers); first > want*rounds*11/10 || first < want*rounds*9/10 || spare > spareSavers*rounds*11/10 {
			t.Errorf("%d routers: %d write at once, %d later in %d rounds, want %d and up to %d in each", routers, first, spare, rounds, want, spareSavers)
		}
		if none > rounds/100 {
			t.Errorf("%d routers: nobody writes at once in %d of %d rounds", routers, none, rounds)
		}
	}
}
