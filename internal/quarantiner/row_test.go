package quarantiner

import (
	"bytes"
	"errors"
	"math"
	"slices"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// verdictOn returns evidence of crashes that confirm a part, the oldest of the given age.
func verdictOn(part messenger.ContentID, crashes int, age time.Duration) Message {
	var m Message
	for i := range crashes {
		m.Crashes = append(m.Crashes, Crash{
			ID:    CrashID{Upstream: messenger.NameHash(i), Process: uint64(part)},
			AgeMs: uint32((age - time.Duration(i)*time.Second).Milliseconds()),
			Suspects: []Suspect{
				{Part: part, Account: 7, Requests: 2, Begun: true, Confirmed: true},
				{Part: 5, Account: 7, Requests: 1, Cleared: true},
			},
		})
	}
	return m
}

// TestRowKeepsVerdict has a Table start from a row that another one's verdict was written to. The
// age of the evidence goes on by the clock of the store, and it expires with it.
func TestRowKeepsVerdict(t *testing.T) {
	const writtenAt = 5_000_000
	m := verdictOn(poisonPart, 3, time.Minute)
	value, err := EncodeRow(m, writtenAt)
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		later time.Duration
		want  int
	}{{0, 1}, {13 * time.Minute, 1}, {14*time.Minute + 3*time.Second, 0}} {
		read, err := DecodeRow(value, writtenAt+tt.later.Milliseconds())
		if err != nil {
			t.Fatal(err)
		}
		var table Table
		table.Merge(epoch, read)
		table.Update(epoch)
		if got := len(table.Quarantined()); got != tt.want {
			t.Errorf("%d parts quarantined %v later, want %d", got, tt.later, tt.want)
		}
		if ruling := table.Rule(epoch, Inquiry{Account: "x", Parts: []messenger.ContentID{5}}); ruling.Refused() {
			t.Error("a cleared part is refused")
		}
	}
}

func TestUnreadableRowHasNoEvidence(t *testing.T) {
	for name, value := range map[string]string{
		"not JSON":  "{",
		"part":      `{"crashes":[{"suspects":[{"part":"zz"}]}]}`,
		"ahead":     `{"crashes":[{"atMs":1001,"suspects":[{"part":"1"}]}]}`,
		"too large": `{"crashes":[]` + string(bytes.Repeat([]byte(" "), maxRowBytes)) + `}`,
	} {
		if m, err := DecodeRow([]byte(value), 1000); !errors.Is(err, ErrRow) || len(m.Crashes) != 0 {
			t.Errorf("%s: %d crashes, error %v, want none and ErrRow", name, len(m.Crashes), err)
		}
	}
}

// TestRowIsBounded writes as much evidence as a Table can hold. The confirmed parts are kept.
func TestRowIsBounded(t *testing.T) {
	var m Message
	for i := range maxCrashes {
		c := Crash{ID: CrashID{Upstream: math.MaxUint32, Process: math.MaxUint64 - uint64(i)}, AgeMs: uint32(i)}
		for j := range maxSuspects {
			c.Suspects = append(c.Suspects, Suspect{Part: messenger.ContentID(math.MaxUint64) - messenger.ContentID(j), Account: math.MaxUint32, Requests: math.MaxUint16, Begun: true, Confirmed: j == 0})
		}
		m.Crashes = append(m.Crashes, c)
	}
	value, err := EncodeRow(m, math.MaxInt64)
	if err != nil || len(value) > maxRowBytes {
		t.Fatalf("%d bytes, error %v, want at most %d", len(value), err, maxRowBytes)
	}
	read, err := DecodeRow(value, math.MaxInt64)
	if err != nil || len(read.Crashes) != maxCrashes || !slices.Equal(read.ConfirmedParts(), m.ConfirmedParts()) {
		t.Errorf("%d crashes, error %v, want all with the confirmed part", len(read.Crashes), err)
	}
}

// TestClearingSpreads guards against a quarantine that others bring back: a crash whose last open
// part is cleared long after it was dropped at once, and came back open with the next message.
func TestClearingSpreads(t *testing.T) {
	var a, b Table
	for _, table := range []*Table{&a, &b} {
		table.Merge(epoch, verdictOn(poisonPart, 3, time.Minute))
		table.Update(epoch)
	}
	now := epoch.Add(2 * time.Minute)
	a.Observe(now, Output{Parts: []messenger.ContentID{poisonPart}})
	for range 2 {
		a.Update(now)
		b.Update(now)
		b.Merge(now, a.Message(now))
		a.Merge(now, b.Message(now))
	}
	later := now.Add(2 * clearedTTL)
	for _, table := range []*Table{&a, &b} {
		table.Update(now)
		if got := table.Quarantined(); len(got) != 0 {
			t.Errorf("quarantined %v after an output, want nothing", got)
		}
		if table.Update(later); table.CrashCount() != 0 {
			t.Errorf("%d crashes later, want the cleared ones forgotten", table.CrashCount())
		}
	}
}
