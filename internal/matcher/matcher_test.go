package matcher

import (
	"testing"

	"lentilwood.example/lentilwood/internal/messenger"
)

func table() *Table {
	shares := []Share{{Pool: "p", Weight: 1}}
	return New(3, []Route{
		{Name: "short", Host: "A.example", Prefix: "/x/", Shares: shares},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Shares: shares},
		{Name: "none", Host: "a.example", Prefix: "/z/"},
	}, []Account{{Name: "clinic", Keys: []string{"k1", "k2"}}})
}

func TestRouteHasLongestPrefix(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example:80", "/x/y/1", "long"},
		{"A.EXAMPLE", "/x/y", "short"},
		{"a.example", "/x/", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/z/1", ""},
		{"b.example", "/x/1", ""},
		{"a.example", "", ""},
	} {
		got := ""
		if r, ok := table().Route(c.host, c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: got route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestAccountByKey(t *testing.T) {
	if a, ok := table().Account("k2"); !ok || a.Name != "clinic" {
		t.Errorf("got %v, want clinic", a)
	}
	if _, ok := table().Account(""); ok {
		t.Error("got an account for an empty key, want none")
	}
}

func TestPoolFollowsWeights(t *testing.T) {
	r := Route{Shares: []Share{{Pool: "a", Weight: 3}, {Pool: "b", Weight: 1}}}
	got := map[messenger.PoolID]int{}
	for draw := range uint64(100) {
		got[r.Pool(draw)]++
	}
	if got["a"] != 75 || got["b"] != 25 {
		t.Errorf("got %v, want 75 for a and 25 for b", got)
	}
}
