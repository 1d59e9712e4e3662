// Package verifier checks the heads of HTTP/1.1 responses: the status line and the header. The
// parser of net/http is more lenient than RFC 9110 and RFC 9112; it accepts any three digits as the
// status code, and field names that contain a space, for example. Passed on, such a response may
// have another meaning for the next recipient.
//
// # Usage
//
//	checked := verifier.NewHeadReader(conn)
//	reader := bufio.NewReader(checked)
//	err := checked.Begin(nil)
//	resp, err := http.ReadResponse(reader, req)
//	err = verifier.CheckStatus(resp.StatusCode)
//	_, err = io.Copy(w, resp.Body)
//	err = verifier.CheckNames(resp.Trailer)
//
// Clients of net/http use Transport:
//
//	client := &http.Client{Transport: verifier.NewTransport(&http.Transport{})}
package verifier

import (
	"net/http"

	"github.com/ansel1/merry/v2"
)

// MaxHeadBytes limits the status line and the header of a response.
const MaxHeadBytes = 64 << 10

// maxStatus is the highest valid status code.
const maxStatus = 599

// ErrStatus means that the status code of a response is invalid.
var ErrStatus = merry.Sentinel("status code of the response is invalid")

// CheckStatus returns ErrStatus unless status is between 100 and 599 (RFC 9110 section 15). It need
// not be a registered one.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus {
		return merry.Prependf(ErrStatus, "%03d", status)
	}
	return nil
}
