package verifier

import "net/http"

// Transport is a RoundTripper that fails requests whose response is none of HTTP. It is for
// clients that expect no change of protocol: status 101 fails as well.
type Transport struct {
	// Base performs the requests.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkFinal(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkFinal returns why a response is none, or nil.
func checkFinal(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return ErrStatus
	}
	if err := CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	return CheckNames(resp.Header)
}

// CloseIdleConnections closes the idle connections of Base, on behalf of http.Client.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
