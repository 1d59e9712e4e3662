// Package verifier checks that the bytes of a server are a response as RFC 9110 and RFC 9112
// define it. The parser of net/http accepts more than that: any three digits as the status, and
// names of fields that contain a blank, for example. A response that it accepts may thus be one
// that no caller must get.
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

// maxStatus is the highest status code of HTTP. Those of 500 and above are failures of a server.
const maxStatus = 599

// ErrStatus means that the status code of a response is none of HTTP.
var ErrStatus = merry.Sentinel("status of the response is none of HTTP")

// CheckStatus returns ErrStatus unless status is between 100 and 599. Whether it is a known one
// does not matter.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus {
		return merry.Prependf(ErrStatus, "%03d", status)
	}
	return nil
}
