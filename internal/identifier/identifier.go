// Package identifier tells client accounts and operators by their bearer
// tokens. It keeps only the SHA-256 digests of tokens and compares them in
// constant time.
//
// # Usage
//
//	var accounts identifier.Identifier
//	err := accounts.Replace([]identifier.Entry{{Name: "riga-1", Digest: identifier.DigestOf(token)}})
//	name, ok := accounts.Identify(r.Header)
package identifier

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// Errors that callers tell apart with errors.Is.
var (
	// ErrInvalidDigest means that a text is not the digest of a token.
	ErrInvalidDigest = merry.Sentinel("not a SHA-256 digest in 64 hexadecimal digits")
	// ErrSharedToken means that two names have the same token.
	ErrSharedToken = merry.Sentinel("two names share one token")
)

const (
	// AuthorizationHeader is the HTTP header that carries a token.
	AuthorizationHeader = "Authorization"
	// ChallengeHeader is the HTTP header of an answer that asks for a token.
	ChallengeHeader = "Www-Authenticate"
	// Challenge is its value.
	Challenge = `Bearer realm="lentilwood"`

	scheme = "bearer "
	// maxTokenBytes bounds what is hashed for one request.
	maxTokenBytes = 4096
)

// Digest is the SHA-256 of a token.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a token.
func DigestOf(token string) Digest { return sha256.Sum256([]byte(token)) }

// ParseDigest reads a digest from 64 hexadecimal digits. The error does not
// repeat the text, which may be a token by mistake.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return Digest{}, merry.Wrap(ErrInvalidDigest)
	}
	copy(d[:], raw)
	return d, nil
}

// Hex returns the digest as settings files hold it.
func (d Digest) Hex() string { return hex.EncodeToString(d[:]) }

// Entry is one token of a client account or operator. A name may have several,
// so that a token can be replaced without a gap.
type Entry struct {
	Name   string
	Digest Digest
}

// AppendEntry adds the token of a name to entries. A text that is not a digest
// adds none.
func AppendEntry(entries []Entry, name, digest string) []Entry {
	d, err := ParseDigest(digest)
	if err != nil {
		return entries
	}
	return append(entries, Entry{Name: name, Digest: d})
}

// Identifier finds the name that a token belongs to. Its zero value knows
// none. It is safe for concurrent use.
type Identifier struct {
	current atomic.Pointer[index]
}

// index holds entries by the first bytes of their digest. The prefix of a
// digest reveals nothing of use about the token, so it may be looked up in
// ordinary time.
type index map[uint64][]Entry

// Replace puts entries in the place of all earlier ones. On error nothing
// changes.
func (i *Identifier) Replace(entries []Entry) error {
	next := make(index, len(entries))
	for _, e := range entries {
		key := prefixOf(e.Digest)
		for _, other := range next[key] {
			if other.Digest == e.Digest && other.Name != e.Name {
				return merry.Prependf(ErrSharedToken, "%s and %s", other.Name, e.Name)
			}
		}
		next[key] = append(next[key], e)
	}
	i.current.Store(&next)
	return nil
}

// Identify returns the name that the bearer token of a request belongs to.
func (i *Identifier) Identify(header http.Header) (string, bool) {
	token, ok := TokenOf(header)
	if !ok {
		return "", false
	}
	current := i.current.Load()
	if current == nil {
		return "", false
	}
	digest := DigestOf(token)
	found := -1
	bucket := (*current)[prefixOf(digest)]
	for n := range bucket {
		if subtle.ConstantTimeCompare(bucket[n].Digest[:], digest[:]) == 1 {
			found = n
		}
	}
	if found < 0 {
		return "", false
	}
	return bucket[found].Name, true
}

// TokenOf returns the bearer token of a request. A request with several
// Authorization headers has none.
func TokenOf(header http.Header) (string, bool) {
	values := header[AuthorizationHeader]
	if len(values) != 1 || len(values[0]) > maxTokenBytes+len(scheme) || len(values[0]) <= len(scheme) {
		return "", false
	}
	if !strings.EqualFold(values[0][:len(scheme)], scheme) {
		return "", false
	}
	token := strings.TrimSpace(values[0][len(scheme):])
	return token, token != ""
}

func prefixOf(d Digest) uint64 { return binary.BigEndian.Uint64(d[:8]) }
