package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"lentilwood.example/lentilwood/internal/messenger"
)

// Digest returns the form in which a bearer token stands in a Document.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// AccountByDigest returns the client account whose bearer token has a digest.
func (d *Document) AccountByDigest(digest string) (messenger.AccountID, bool) {
	id, ok := d.digests[digest]
	return id, ok
}

// RouteOf returns the route for a request: the longest path that fits, among
// the routes that serve the method.
func (d *Document) RouteOf(method, path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range d.Routes {
		if !r.serves(method, path) || found && len(r.Path) <= len(best.Path) {
			continue
		}
		best, found = r, true
	}
	return best, found
}

// serves reports whether a route applies; a path matches whole segments.
func (r Route) serves(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	rest, ok := strings.CutPrefix(path, r.Path)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.Path, "/"))
}

// Allows reports whether callers of a route may choose a class.
func (r Route) Allows(c messenger.ClassID) bool {
	return c == r.Class || slices.Contains(r.Classes, c)
}

func (d *Document) index() {
	d.digests = make(map[string]messenger.AccountID)
	for id, a := range d.Accounts {
		for _, t := range a.Tokens {
			d.digests[strings.ToLower(t)] = id
		}
	}
}
