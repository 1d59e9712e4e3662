package configurer

import (
	"encoding/json"
	"fmt"
	"testing"

	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// largeState returns the state of a configuration with many client accounts, and an
// update that adds one exception.
func largeState(b *testing.B, accounts int) (*State, Update) {
	b.Helper()
	d := &Document{
		Accounts:   make(map[messenger.AccountID]AccountSettings),
		Exceptions: make(map[string]Exception),
	}
	for i := range accounts {
		w := float64(1 + i%5)
		d.Accounts[messenger.AccountID(fmt.Sprintf("account-%05d", i))] = AccountSettings{
			Weight: &w, Tokens: []string{Digest(fmt.Sprint(i))},
		}
		if i%100 == 0 {
			id := fmt.Sprintf("account-%05d", i)
			d.Exceptions[id] = Exception{
				Scope: Scope{Account: messenger.AccountID(id)}, Reason: "test", Author: "ilze", Account: &AccountSettings{Weight: &w},
			}
		}
	}
	clock := timekeeper.NewManual(startTime)
	e := &Editor{Store: keeper.New(clock), Clock: clock}
	if _, err := e.Set(b.Context(), d, testNote); err != nil {
		b.Fatal(err)
	}
	s, err := e.load(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	w := 2.0
	u, err := e.PutException(b.Context(), 0, "x", Exception{
		Scope: Scope{Account: "account-00007"}, Reason: "test", Author: "ilze", Account: &AccountSettings{Weight: &w},
	})
	if err != nil {
		b.Fatal(err)
	}
	return s, u
}

// BenchmarkApply measures the cost of one change for a router with 14,000 client
// accounts and 140 exceptions: applying the update and resolving the policy.
func BenchmarkApply(b *testing.B) {
	s, u := largeState(b, 14000)
	data, err := json.Marshal(u)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			if _, err := s.Apply(u); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "B/change")
	})
	next, err := s.Apply(u)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("resolve", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			next.Document().Resolve(startTime, "r1", "d1")
		}
	})
}
