package exchanger

import (
	"net"
	"testing"
	"time"
)

// maxSocketBytes is more than the sockets of a connection hold.
const maxSocketBytes = 32 << 20

// TestAckWithoutEndIsNotKept has a peer answer a call without end: the connection must be closed
// before much of it was read.
func TestAckWithoutEndIsNotKept(t *testing.T) {
	key := []byte("shared")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	defer l.Close() //nolint:errcheck // a test
	written := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close() //nolint:errcheck // a test
		if _, err := serverHandshake(conn, key, "r2"); err != nil {
			t.Errorf("handshake: %v", err)
		}
		// The head of an answer in msgpack: an array of three, of which the first is a text of 1.5 GiB.
		n, err := conn.Write([]byte{0x93, 0xdb, 0x60, 0, 0, 0})
		for total := n; ; total += n {
			if err != nil {
				written <- total
				return
			}
			n, err = conn.Write(make([]byte, 64<<10))
		}
	}()
	x := startExchanger(t, Config[testMessage]{Name: "r1", Key: key, RetryInterval: time.Hour}, newInbox())
	if err := x.Send(l.Addr().String(), testMessage{N: 1}); err != nil {
		t.Fatalf("send: %v", err)
	}
	select {
	case got := <-written:
		if got > maxSocketBytes {
			t.Errorf("%d bytes were read of an answer without end, want at most %d", got, maxSocketBytes)
		}
	case <-time.After(testTimeout):
		t.Error("the connection of an answer without end stays open")
	}
}
