// Package identifier authenticates client accounts and operators by bearer token. It
// stores only the SHA-256 digests of tokens and compares them in constant time.
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

// Errors for use with errors.Is.
var (
	// ErrInvalidDigest means that a text is not a token digest.
	ErrInvalidDigest = merry.Sentinel("not a SHA-256 digest in 64 hexadecimal digits")
	// ErrSharedToken means that two names have the same token.
	ErrSharedToken = merry.Sentinel("two names share one token")
)

const (
	// AuthorizationHeader is the request header that carries a token.
	AuthorizationHeader = "Authorization"
	// ChallengeHeader is the response header that requests a token.
	ChallengeHeader = "Www-Authenticate"
	// Challenge is the value of ChallengeHeader.
	Challenge = `Bearer realm="lentilwood"`

	scheme = "bearer "
	// maxTokenBytes limits how many bytes are hashed per request.
	maxTokenBytes = 4096
)

// Digest is the SHA-256 digest of a token.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a token.
func DigestOf(token string) Digest { return sha256.Sum256([]byte(token)) }

// ParseDigest parses a digest of 64 hexadecimal digits. The error does not contain text,
// which might be a token entered by mistake.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return Digest{}, merry.Wrap(ErrInvalidDigest)
	}
	copy(d[:], raw)
	return d, nil
}

// Hex returns the digest in hexadecimal, as in settings files.
func (d Digest) Hex() string { return hex.EncodeToString(d[:]) }

// Entry is one token of a client account or operator. A name may have several tokens, so
// that a token can be replaced without an interruption.
type Entry struct {
	Name   string
	Digest Digest
}

// AppendEntry appends the token of a name to entries. An invalid digest is ignored.
func AppendEntry(entries []Entry, name, digest string) []Entry {
	d, err := ParseDigest(digest)
	if err != nil {
		return entries
	}
	return append(entries, Entry{Name: name, Digest: d})
}

// Identifier maps tokens to names. The zero value contains no tokens. It is safe for
// concurrent use.
type Identifier struct {
	current atomic.Pointer[digestIndex]
}

// digestIndex groups entries by the first eight bytes of their digest. This prefix reveals
// nothing useful about the token, so the lookup need not run in constant time.
type digestIndex map[uint64][]Entry

// Replace replaces all entries. On error, nothing changes.
func (i *Identifier) Replace(entries []Entry) error {
	next := make(digestIndex, len(entries))
	for _, e := range entries {
		key := digestPrefix(e.Digest)
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
	match := -1
	bucket := (*current)[digestPrefix(digest)]
	for n := range bucket {
		if subtle.ConstantTimeCompare(bucket[n].Digest[:], digest[:]) == 1 {
			match = n
		}
	}
	if match < 0 {
		return "", false
	}
	return bucket[match].Name, true
}

// TokenOf returns the bearer token of a request. A request with several Authorization
// headers has none.
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

func digestPrefix(d Digest) uint64 { return binary.BigEndian.Uint64(d[:8]) }
