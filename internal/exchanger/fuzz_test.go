package exchanger

import (
	"bytes"
	"io"
	"testing"
)

// script is a connection whose other end sends fixed bytes.
type script struct {
	io.Reader
	io.Writer
}

// FuzzGreeting gives the server's end any bytes: without the key no sequence
// of them may be accepted.
func FuzzGreeting(f *testing.F) {
	greeting := newGreeting("r1", 1)
	f.Add([]byte{})
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add(greeting)
	f.Add(append(bytes.Clone(greeting), proof(nil, clientLabel, greeting, greeting)...))
	f.Add(append(bytes.Clone(greeting), proof([]byte("shared"), serverLabel, greeting, greeting)...))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if from, err := greetAsServer(script{bytes.NewReader(raw), io.Discard}, []byte("shared"), "r2"); err == nil {
			t.Errorf("got %v accepted for %q", from, raw)
		}
	})
}
