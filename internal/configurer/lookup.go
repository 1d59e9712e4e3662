package configurer

import (
	"slices"
	"strings"

	"lentilwood.example/lentilwood/internal/identifier"
	"lentilwood.example/lentilwood/internal/messenger"
)

// Digest returns the digest of a bearer token in the form used in a Document.
func Digest(token string) string {
	return identifier.DigestOf(token).Hex()
}

// Tokens returns the token digests of the client accounts. Check has validated
// them.
func (d *Document) Tokens() []identifier.Entry {
	var entries []identifier.Entry
	for id, account := range d.Accounts {
		for _, digest := range account.Tokens {
			entries = identifier.AppendEntry(entries, string(id), digest)
		}
	}
	return entries
}

// RouteOf returns the route for a request: the one with the longest matching path
// among those that accept the method.
func (d *Document) RouteOf(method, path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range d.Routes {
		if !r.matches(method, path) || found && len(r.Path) <= len(best.Path) {
			continue
		}
		best, found = r, true
	}
	return best, found
}

// matches reports whether the route applies to a request. A path matches whole path
// segments, not a part of one.
func (r Route) matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	rest, ok := strings.CutPrefix(path, r.Path)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.Path, "/"))
}

// Allows reports whether callers of the route may choose class c.
func (r Route) Allows(c messenger.ClassID) bool {
	return c == r.Class || slices.Contains(r.Classes, c)
}
