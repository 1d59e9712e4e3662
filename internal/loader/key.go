package loader

import (
	"bytes"
	"os"

	"github.com/ansel1/merry/v2"
)

// ErrKey means that a file of the routers' shared key holds too few bytes.
var ErrKey = merry.Sentinel("the peers' key is shorter than 16 bytes")

// ReadPeerKey returns the key that all routers of the fleet share, from the
// settings or from the file that they name.
func (s *Router) ReadPeerKey() ([]byte, error) {
	if s.PeerKeyFile == "" {
		return []byte(s.PeerKey.Reveal()), nil
	}
	data, err := os.ReadFile(s.PeerKeyFile)
	if err != nil {
		return nil, merry.Prepend(err, "read the peers' key")
	}
	key := bytes.TrimSpace(data)
	if len(key) < minKeyBytes {
		return nil, merry.Prepend(ErrKey, s.PeerKeyFile)
	}
	return key, nil
}
