package exchanger

import (
	"bytes"
	"io"
	"testing"
)

// scriptedConn is a connection from which fixed bytes are read; writes are discarded.
type scriptedConn struct {
	io.Reader
	io.Writer
}

// FuzzGreeting checks that the server end of the handshake accepts no input from a client
// that does not know the key.
func FuzzGreeting(f *testing.F) {
	greeting := newGreeting("r1", 1)
	f.Add([]byte{})
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add(greeting)
	f.Add(append(bytes.Clone(greeting), newProof(nil, clientLabel, greeting, greeting)...))
	f.Add(append(bytes.Clone(greeting), newProof([]byte("shared"), serverLabel, greeting, greeting)...))
	f.Fuzz(func(t *testing.T, input []byte) {
		if from, err := serverHandshake(scriptedConn{bytes.NewReader(input), io.Discard}, []byte("shared"), "r2"); err == nil {
			t.Errorf("accepted sender %v for input %q", from, input)
		}
	})
}
