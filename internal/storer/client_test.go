package storer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// answeringStore starts a store that answers each call with the bytes raw.
func answeringStore(t *testing.T, raw string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Errorf("hijack: %v", err)
			return
		}
		_, _ = fmt.Fprint(conn, raw)
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	return NewClient(ClientConfig{URL: server.URL, Timeout: 5 * time.Second})
}

// TestCutAnswerIsNoCommit guards against taking a write for done on a part of an answer without a
// length: the store may have ended before it read the whole write.
func TestCutAnswerIsNoCommit(t *testing.T) {
	for _, body := range []string{"", "{", "{}"} {
		client, want := answeringStore(t, "HTTP/1.1 200 OK\r\n\r\n"+body), ErrUnknown
		if body == "{}" {
			want = nil
		}
		if err := client.Commit(context.Background(), nil); !errors.Is(err, want) {
			t.Errorf("%q: commit got error %v, want %v", body, err, want)
		}
		if err := client.PutObject(context.Background(), "o", nil); !errors.Is(err, want) {
			t.Errorf("%q: object got error %v, want %v", body, err, want)
		}
	}
}

// TestBrokenAnswerIsNoCommit guards against taking a write for done on an answer that is none.
func TestBrokenAnswerIsNoCommit(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 None\r\n", "HTTP/1.1 099 None\r\n", "HTTP/1.1 999 None\r\n", "HTTP/1.1 200 OK\r\nX Foo: 1\r\n"} {
		client := answeringStore(t, head+"Content-Length: 2\r\n\r\n{}")
		if err := client.Commit(context.Background(), nil); !errors.Is(err, ErrUnknown) {
			t.Errorf("%q: commit got error %v, want %v", head, err, ErrUnknown)
		}
		if data, err := client.GetObject(context.Background(), "o"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("%q: object got %q, error %v, want %v", head, data, err, ErrUnavailable)
		}
	}
}
