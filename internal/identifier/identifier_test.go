package identifier

import (
	"errors"
	"net/http"
	"strings"
	"testing"
)

func TestIdentify(t *testing.T) {
	var accounts Identifier
	err := accounts.Replace([]Entry{
		{Name: "riga-1", Digest: DigestOf("old")},
		{Name: "riga-1", Digest: DigestOf("new")},
		{Name: "riga-2", Digest: DigestOf("other")},
	})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		values []string
		want   string
	}{
		{"first token", []string{"Bearer old"}, "riga-1"},
		{"second token", []string{"bearer new"}, "riga-1"},
		{"other account", []string{"BEARER other"}, "riga-2"},
		{"unknown token", []string{"Bearer olds"}, ""},
		{"prefix of a token", []string{"Bearer ol"}, ""},
		{"digest in place of the token", []string{"Bearer " + DigestOf("old").Hex()}, ""},
		{"other scheme", []string{"Basic old"}, ""},
		{"no token", []string{"Bearer "}, ""},
		{"blank token", []string{"Bearer    "}, ""},
		{"no header", nil, ""},
		{"two headers", []string{"Bearer old", "Bearer other"}, ""},
		{"huge", []string{"Bearer " + strings.Repeat("x", 1<<20)}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := accounts.Identify(http.Header{AuthorizationHeader: tt.values})
			if got != tt.want || ok != (tt.want != "") {
				t.Errorf("Identify() = %q, %v, want %q", got, ok, tt.want)
			}
		})
	}
}

func TestZeroIdentifierHasNoTokens(t *testing.T) {
	var accounts Identifier
	if got, ok := accounts.Identify(http.Header{AuthorizationHeader: {"Bearer x"}}); ok {
		t.Errorf("Identify() = %q, want no match", got)
	}
}

func TestReplaceRejectsSharedToken(t *testing.T) {
	var accounts Identifier
	if err := accounts.Replace([]Entry{{"a", DigestOf("x")}}); err != nil {
		t.Fatal(err)
	}
	err := accounts.Replace([]Entry{{"b", DigestOf("y")}, {"c", DigestOf("y")}})
	if !errors.Is(err, ErrSharedToken) {
		t.Errorf("Replace() = %v, want ErrSharedToken", err)
	}
	if got, _ := accounts.Identify(http.Header{AuthorizationHeader: {"Bearer x"}}); got != "a" {
		t.Errorf("Identify() = %q after a rejected Replace, want the earlier entry %q", got, "a")
	}
}

func TestParseDigest(t *testing.T) {
	want := DigestOf("x")
	if got, err := ParseDigest(want.Hex()); err != nil || got != want {
		t.Errorf("ParseDigest() = %v, %v, want the digest", got, err)
	}
	for _, text := range []string{"", "my-token", want.Hex()[2:], want.Hex() + "00"} {
		_, err := ParseDigest(text)
		if !errors.Is(err, ErrInvalidDigest) {
			t.Errorf("ParseDigest(%q) = %v, want ErrInvalidDigest", text, err)
		}
		if err != nil && text != "" && strings.Contains(err.Error(), text) {
			t.Errorf("the error %q repeats the text", err)
		}
	}
}

func BenchmarkIdentify(b *testing.B) {
	var accounts Identifier
	entries := make([]Entry, 14_000)
	for n := range entries {
		name := "account-" + strings.Repeat("x", n%50) + string(rune('a'+n%26))
		entries[n] = Entry{Name: name, Digest: DigestOf(name + strings.Repeat("y", n/50))}
	}
	if err := accounts.Replace(entries); err != nil {
		b.Fatal(err)
	}
	header := http.Header{AuthorizationHeader: {"Bearer account-a"}}
	b.ReportAllocs()
	for b.Loop() {
		accounts.Identify(header)
	}
}
