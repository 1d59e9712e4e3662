package listener

import (
	"strings"
	"testing"
)

// TestChunkSizeIsHexadecimal guards against control characters that are taken for digits, so that
// another proxy before this one sees other requests on the connection.
func TestChunkSizeIsHexadecimal(t *testing.T) {
	for c := range 256 {
		digit := strings.ContainsRune("0123456789abcdefABCDEF", rune(c))
		if _, p := parseChunkSize([]byte{byte(c), '\r', '\n'}); (p == nil) != digit {
			t.Errorf("size %q: accepted %v, want %v", byte(c), p == nil, digit)
		}
	}
}
