package verifier

import (
	"io"

	"github.com/ansel1/merry/v2"
)

// ErrTooLong means that a body is longer than its reader accepts.
var ErrTooLong = merry.Sentinel("body is longer than accepted")

// ReadAll reads r to its end. It returns ErrTooLong if that comes after more than maxBytes: the beginning of a
// body must not pass for the whole.
func ReadAll(r io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > maxBytes {
		return nil, merry.Prependf(ErrTooLong, "over %d bytes", maxBytes)
	}
	return data, nil
}
