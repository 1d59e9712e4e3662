package emulator

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const textBase = 36

// Text returns the text of event n, counted from 1, of the answer to a
// request. A checker calls it to see that an answer is whole and its own.
func Text(requestID string, n int) string {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(requestID)
	_, _ = d.Write(strconv.AppendInt(nil, int64(n), 10))
	return strconv.FormatUint(d.Sum64()&0xffffff, textBase) + " "
}
