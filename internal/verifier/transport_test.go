package verifier

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// answering returns a client of a server that answers each request with raw.
func answering(t *testing.T, raw string) (client *http.Client, url string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Errorf("hijack: %v", err)
			return
		}
		_, _ = io.WriteString(conn, raw)
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	return &http.Client{Transport: NewTransport(&http.Transport{})}, server.URL
}

func TestTransport(t *testing.T) {
	for name, tc := range map[string]struct {
		raw  string
		want error
	}{
		"sound":            {"HTTP/1.1 200 OK\r\nX-Empty:\r\nContent-Length: 2\r\n\r\nok", nil},
		"unknown status":   {"HTTP/1.1 299\r\nContent-Length: 2\r\n\r\nok", nil},
		"interim response": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil},
		"status 000":       {"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok", ErrStatus},
		"status 600":       {"HTTP/1.1 600 None\r\nContent-Length: 2\r\n\r\nok", ErrStatus},
		"blank in a name":  {"HTTP/1.1 200 OK\r\nX Foo: 1\r\nContent-Length: 2\r\n\r\nok", ErrHead},
		"blank after name": {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok!", ErrHead},
		"other protocol":   {"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", ErrStatus},
	} {
		t.Run(name, func(t *testing.T) {
			client, url := answering(t, tc.raw)
			resp, err := client.Get(url)
			if !errors.Is(err, tc.want) {
				t.Errorf("got error %v, want %v", err, tc.want)
			}
			if err != nil {
				return
			}
			defer resp.Body.Close() //nolint:errcheck // a test
			if got, err := io.ReadAll(resp.Body); string(got) != "ok" || err != nil {
				t.Errorf("got body %q, error %v, want ok", got, err)
			}
		})
	}
}

func TestTransportLimitsHeads(t *testing.T) {
	for size, wantErr := range map[int]bool{MaxHeadBytes / 2: false, 2 * MaxHeadBytes: true} {
		client, url := answering(t, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("a", size)+"\r\nContent-Length: 2\r\n\r\nok")
		resp, err := client.Get(url)
		if (err != nil) != wantErr {
			t.Errorf("%d bytes: got error %v, want one %v", size, err, wantErr)
		}
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}
