package meter

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

func write(m *Meter) string {
	var b bytes.Buffer
	m.set.WritePrometheus(&b)
	return b.String()
}

func mustContain(t *testing.T, text, want string) {
	t.Helper()
	if !strings.Contains(text, want) {
		t.Errorf("metrics = %s, want %q in them", text, want)
	}
}

func TestSeriesCountForAccountAndClass(t *testing.T) {
	m := New(timekeeper.NewManual(time.Unix(0, 0)), 2)
	s := m.Series("riga-1", "consultation")
	s.Accept()
	s.Tokens(7)
	s.Wait(time.Second)
	s.FirstToken(time.Second)
	s.BetweenTokens(time.Second)
	s.Total(time.Second)
	s.Refuse(messenger.RefuseQueueFull)
	m.ControlSent(PeerRouter).Add(5)
	got := write(m)
	for _, want := range []string{
		`lentilwood_account_requests_total{account="riga-1",class="consultation"} 1`,
		`lentilwood_class_requests_total{class="consultation"} 1`,
		`lentilwood_account_tokens_total{account="riga-1",class="consultation"} 7`,
		`lentilwood_account_refusals_total{account="riga-1",class="consultation",reason="queue-full"} 1`,
		`lentilwood_account_wait_seconds_count{account="riga-1",class="consultation"} 1`,
		`lentilwood_class_first_token_seconds_sum{class="consultation"} 1`,
		`lentilwood_account_between_tokens_seconds_count{account="riga-1",class="consultation"} 1`,
		`lentilwood_account_total_seconds_count{account="riga-1",class="consultation"} 1`,
		`lentilwood_control_bytes_total{direction="sent",peer="router"} 5`,
	} {
		mustContain(t, got, want)
	}
}

func TestSeriesAreBounded(t *testing.T) {
	clock := timekeeper.NewManual(time.Unix(0, 0))
	m := New(clock, 10)
	for i := range 14_000 {
		m.Series(messenger.AccountID(fmt.Sprintf("account-%d", i)), "short").Accept()
		clock.Advance(time.Millisecond)
	}
	if got, want := m.Accounts(), 10; got != want {
		t.Errorf("Accounts() = %d, want %d", got, want)
	}
	text := write(m)
	mustContain(t, text, `lentilwood_account_requests_total{account="other",class="short"} 13990`)
	mustContain(t, text, `lentilwood_class_requests_total{class="short"} 14000`)
	if got, want := strings.Count(text, "account_requests_total"), 11; got != want {
		t.Errorf("got %d series of account requests, want %d", got, want)
	}
}

func TestUnusedAccountGivesUpItsSeries(t *testing.T) {
	clock := timekeeper.NewManual(time.Unix(0, 0))
	m := New(clock, 1)
	old := m.Series("old", "short")
	old.Accept()
	old.Refuse(messenger.RefuseRate)
	clock.Advance(IdleTime - time.Second)
	m.Series("early", "short").Accept()
	mustContain(t, write(m), `account="old"`)
	clock.Advance(time.Second)
	m.Series("new", "short").Accept()
	got := write(m)
	mustContain(t, got, `account="new"`)
	if strings.Contains(got, `account="old"`) {
		t.Errorf("metrics = %s, want no series of the account that lost its place", got)
	}
	old.Accept()
	old.Refuse(messenger.RefuseRate)
	got = write(m)
	mustContain(t, got, `lentilwood_account_requests_total{account="other",class="short"} 2`)
	mustContain(t, got, `lentilwood_account_refusals_total{account="other",class="short",reason="rate-limit"} 1`)
	mustContain(t, got, `lentilwood_class_requests_total{class="short"} 4`)
}

func TestClassesAreBounded(t *testing.T) {
	m := New(timekeeper.NewManual(time.Unix(0, 0)), 1)
	for i := range 1000 {
		m.Series("a", messenger.ClassID(fmt.Sprintf("class-%d", i))).Accept()
	}
	if got, want := strings.Count(write(m), "lentilwood_class_requests_total"), MaxClasses+1; got != want {
		t.Errorf("got %d classes, want %d", got, want)
	}
}

func TestConcurrentUse(t *testing.T) {
	clock := timekeeper.NewManual(time.Unix(0, 0))
	m := New(clock, 2)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 200 {
				s := m.Series(messenger.AccountID(fmt.Sprintf("a%d", (g+i)%5)), "short")
				s.Accept()
				s.Refuse(messenger.RefuseRate)
				s.Wait(time.Millisecond)
				clock.Advance(time.Minute)
			}
		})
	}
	wg.Wait()
	mustContain(t, write(m), `lentilwood_class_requests_total{class="short"} 1600`)
}

func BenchmarkSeries(b *testing.B) {
	m := New(timekeeper.System{}, 64)
	b.ReportAllocs()
	for b.Loop() {
		s := m.Series("riga-1", "short")
		s.Accept()
		s.Wait(time.Millisecond)
		s.FirstToken(time.Millisecond)
		s.Total(time.Millisecond)
	}
}

func BenchmarkBetweenTokens(b *testing.B) {
	s := New(timekeeper.System{}, 64).Series("riga-1", "short")
	b.ReportAllocs()
	for b.Loop() {
		s.BetweenTokens(time.Millisecond)
	}
}
