package configurer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/sloper"
)

// BenchmarkSlopeDocument measures a configuration in which every client account has a
// weight and a token, and one in a hundred accounts has an exception.
func BenchmarkSlopeDocument(b *testing.B) {
	for _, n := range []int{16, 140, 1400, 14_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchmarkDocument(b, n)
			}
		})
	}
}

func benchmarkDocument(b *testing.B, accounts int) {
	const resolves = 10
	text := largeDocument(accounts).JSON()
	b.ReportMetric(float64(len(text)), "document-B")
	before := sloper.Heap()
	begin := sloper.CPU()
	d, err := Parse(text)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64((sloper.CPU() - begin).Microseconds()), "parse-cpu-µs")
	b.ReportMetric(sloper.Heap()-before, "document-heap-B")
	before = sloper.Heap()
	begin = sloper.CPU()
	var p *messenger.Policy
	for range resolves {
		p = d.Resolve(startTime, "r1", "d1")
	}
	b.ReportMetric(float64((sloper.CPU()-begin).Microseconds())/resolves, "resolve-cpu-µs")
	b.ReportMetric(sloper.Heap()-before, "policy-heap-B")
	runtime.KeepAlive(d)
	if len(p.Accounts) != accounts {
		b.Fatalf("got %d accounts, want %d", len(p.Accounts), accounts)
	}
}

func largeDocument(accounts int) *Document {
	weight := 2.0
	until := startTime.Add(time.Hour)
	d := &Document{
		Accounts:   make(map[messenger.AccountID]AccountSettings, accounts),
		Exceptions: make(map[string]Exception),
	}
	for i := range accounts {
		id := messenger.AccountID(fmt.Sprintf("account-%d", i))
		d.Accounts[id] = AccountSettings{Weight: &weight, Tokens: []string{Digest(string(id))}}
		if i%100 == 0 {
			d.Exceptions[string(id)] = Exception{
				Scope: Scope{Account: id}, Reason: "trial", Author: "ilze", Until: &until, Account: &AccountSettings{Weight: &weight},
			}
		}
	}
	return d
}

// BenchmarkSlopeChange measures the cost, for a router, of one change of one client
// account, and the size of the state that the router keeps.
func BenchmarkSlopeChange(b *testing.B) {
	for _, n := range []int{16, 140, 1400, 14_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchmarkChange(b, n)
			}
		})
	}
}

func benchmarkChange(b *testing.B, accounts int) {
	const changes = 5
	before := sloper.Heap()
	s, err := firstState(accounts)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(sloper.Heap()-before, "state-heap-B")
	begin := sloper.CPU()
	for v := uint64(2); v < 2+changes; v++ {
		r := Revision{Version: v, Changes: Entries{"accounts/account-0": []byte(fmt.Sprintf(`{"weight":%d}`, v))}}
		r.Checksum = s.checksum - entryChecksum("accounts/account-0", s.entries["accounts/account-0"]) + entryChecksum("accounts/account-0", r.Changes["accounts/account-0"])
		if s, err = s.Apply(Update{Version: v, Revisions: []Revision{r}}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((sloper.CPU()-begin).Microseconds())/changes, "change-cpu-µs")
	runtime.KeepAlive(s)
}

func firstState(accounts int) (*State, error) {
	entries := entriesOf(largeDocument(accounts))
	var empty *State
	return empty.Apply(Update{Version: 1, AllEntries: entries, Checksum: checksum(entries)})
}
