package verifier

import "net/http"

// Transport is an http.RoundTripper that fails if the response has an invalid status code or field
// name, or a head of more than MaxHeadBytes. It is for clients that never request an upgrade of the
// protocol: status 101 fails as well.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that performs requests with base. It sets the limit of base for
// the size of heads.
func NewTransport(base *http.Transport) Transport {
	base.MaxResponseHeaderBytes = MaxHeadBytes
	return Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkFinal(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkFinal returns why a response is invalid, or nil.
func checkFinal(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return ErrStatus
	}
	if err := CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	return CheckNames(resp.Header)
}

// CloseIdleConnections closes the idle connections, on behalf of http.Client.
func (t Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
