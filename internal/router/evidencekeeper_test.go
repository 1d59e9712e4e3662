package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// faultyEvidence is an EvidenceStore. The next refused calls of Load fail; Save is done and not
// answered if lost is set. beforeSave, if set, is called once.
type faultyEvidence struct {
	*timekeeper.Manual
	row        EvidenceRow
	refused    int
	lost       bool
	beforeSave func()
}

var errFault = merry.Sentinel("no answer")

func (s *faultyEvidence) Load(context.Context) (EvidenceRow, error) {
	s.row.NowMs = s.Now().UnixMilli()
	if s.refused--; s.refused >= 0 {
		return EvidenceRow{}, errFault
	}
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
	s.row.Version, s.row.Value = version+1, value
	if s.lost {
		s.lost = false
		return errFault
	}
	return nil
}

// newKeeper returns the keeper of a router that has just started.
func (s *faultyEvidence) newKeeper() *evidenceKeeper {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := meter.New(s, 1)
	q := newQuarantine(s, log, m, loader.Quarantine{})
	q.onBegin = func() {}
	k := newEvidenceKeeper(HostedConfig{Evidence: s, Clock: s, Log: log}, q, m, 1)
	q.onVerdicts = k.handleChanges
	return k
}

// confirm lets the router of a keeper learn of a verdict, which is then due to be written.
func (k *evidenceKeeper) confirm(part messenger.ContentID) {
	k.quarantine.merge(quarantiner.Message{Crashes: []quarantiner.Crash{{
		ID:       quarantiner.CrashID{Upstream: 1, Process: uint64(part)},
		Suspects: []quarantiner.Suspect{{Part: part, Account: 7, Requests: 1, Begun: true, Confirmed: true}},
	}}})
	k.clock.(*faultyEvidence).Advance(saveSpread)
}

// TestEvidenceSurvivesFaults checks that whatever happens while a verdict is written, all verdicts
// are in the row soon, written once each, and in force before.
func TestEvidenceSurvivesFaults(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(s *faultyEvidence, k, other *evidenceKeeper)
		want    error
		parts   string
		version uint64
	}{
		{"none", func(*faultyEvidence, *evidenceKeeper, *evidenceKeeper) {}, nil, "[1]", 1},
		{"refused", func(s *faultyEvidence, _, _ *evidenceKeeper) { s.refused = 1 }, errFault, "[1]", 1},
		{"answer lost", func(s *faultyEvidence, _, _ *evidenceKeeper) { s.lost = true }, errFault, "[1]", 1},
		{"unreadable row", func(s *faultyEvidence, _, _ *evidenceKeeper) { s.row = EvidenceRow{Value: []byte("{"), Version: 3} }, nil, "[1]", 4},
		{"write of another router", func(s *faultyEvidence, _, other *evidenceKeeper) {
			s.beforeSave = func() {
				other.confirm(2)
				_ = other.sync(context.Background())
			}
		}, ErrEvidenceChanged, "[1 2]", 2},
		{"another verdict", func(s *faultyEvidence, k, _ *evidenceKeeper) { s.beforeSave = func() { k.confirm(2) } }, nil, "[1 2]", 2},
		{"cleared", func(s *faultyEvidence, k, _ *evidenceKeeper) {
			s.beforeSave = func() {
				s.Advance(time.Minute)
				k.quarantine.Observe(quarantiner.Output{Parts: []messenger.ContentID{1}})
			}
		}, nil, "[]", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &faultyEvidence{Manual: timekeeper.NewManual(time.Unix(1_800_000_000, 0))}
			k := s.newKeeper()
			tt.fault(s, k, s.newKeeper())
			k.confirm(1)
			if got := k.quarantine.quarantined(); len(got) != 1 {
				t.Errorf("quarantined %v before the row is written, want part 1", got)
			}
			if err := k.sync(context.Background()); !errors.Is(err, tt.want) {
				t.Errorf("first sync: %v, want %v", err, tt.want)
			}
			s.Advance(time.Minute) // longer than a crash is kept after it was cleared
			k.quarantine.tick()
			for range 2 {
				if err := k.sync(context.Background()); err != nil {
					t.Errorf("sync: %v", err)
				}
			}
			later := s.newKeeper()
			_ = later.sync(context.Background())
			if got := fmt.Sprint(k.quarantine.quarantined()); got != tt.parts {
				t.Errorf("quarantined %s, want %s", got, tt.parts)
			}
			if got := fmt.Sprint(later.quarantine.quarantined()); got != tt.parts || s.row.Version != tt.version || k.unsaved.Load() {
				t.Errorf("stored %s in version %d, unsaved %v, want %s in version %d", got, s.row.Version, k.unsaved.Load(), tt.parts, tt.version)
			}
		})
	}
}

// TestFewRoutersWriteAVerdict checks that some routers write a verdict at once in a fleet of any
// size, and that their number does not grow with it.
func TestFewRoutersWriteAVerdict(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, routers := range []int{1, 8, 400} {
		first, writers := 0, 0
		for range 100 * routers {
			delay, mine := saveDelay(rng.Float64(), routers)
			if mine {
				writers++
			}
			if mine && delay <= saveSpread {
				first++
			}
		}
		if first < 70*min(routers, firstSavers) || writers > 130*(firstSavers+spareSavers) {
			t.Errorf("%d routers: %d write at once and %d in all in 100 rounds", routers, first, writers)
		}
	}
}

// TestOldClearingKeepsNewVerdict guards against a router that removes a verdict of others from the
// row because it saw the part cleared long before the crashes of that verdict.
func TestOldClearingKeepsNewVerdict(t *testing.T) {
	s := &faultyEvidence{Manual: timekeeper.NewManual(time.Unix(1_800_000_000, 0))}
	k, other := s.newKeeper(), s.newKeeper()
	k.setRouters(1 << 30) // leaves the writing to others
	k.confirm(1)
	k.quarantine.Observe(quarantiner.Output{Parts: []messenger.ContentID{1}})
	s.Advance(time.Hour)
	k.quarantine.tick()
	other.confirm(1)
	if err := other.sync(context.Background()); err != nil {
		t.Fatal(err)
	}
	k.setRouters(1)
	k.confirm(2)
	if err := k.sync(context.Background()); err != nil {
		t.Fatal(err)
	}
	later := s.newKeeper()
	_ = later.sync(context.Background())
	if got, want := fmt.Sprint(later.quarantine.quarantined()), "[1 2]"; got != want {
		t.Errorf("stored %s, want %s", got, want)
	}
}
