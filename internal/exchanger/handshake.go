package exchanger

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"slices"

	"github.com/ansel1/merry/v2"
)

// The two ends of a connection prove to each other that they know the shared key.
// The client sends a greeting, the server answers with its own greeting and a
// proof, and the client sends its proof. A greeting consists of
//
//	protocolID (4 bytes) | nonce (16 bytes) | epoch (8 bytes) | length (1 byte) | name
//
// A proof is an HMAC-SHA256 of the label of the role and both greetings. The epoch
// is a random number that distinguishes the runs of a sender, because each run
// starts its sequence numbers at 0.
const (
	protocolID   = "LWX1"
	nonceBytes   = 16
	epochBytes   = 8
	maxNameBytes = 255

	clientLabel = "client"
	serverLabel = "server"
)

var errInvalidProof = merry.Sentinel("invalid handshake proof: peer uses a different shared key")

func newEpoch() uint64 {
	var b [epochBytes]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

func newGreeting(name string, epoch uint64) []byte {
	name = name[:min(len(name), maxNameBytes)]
	g := append([]byte(protocolID), make([]byte, nonceBytes)...)
	_, _ = rand.Read(g[len(protocolID):])
	g = binary.BigEndian.AppendUint64(g, epoch)
	g = append(g, byte(len(name)))
	return append(g, name...)
}

// sender identifies the end of a connection that sent a greeting.
type sender struct {
	name  string
	epoch uint64
}

// readGreeting reads a greeting and returns its bytes and the sender that it names.
func readGreeting(r io.Reader) (greeting []byte, from sender, err error) {
	header := make([]byte, len(protocolID)+nonceBytes+epochBytes+1)
	if _, err := io.ReadFull(r, header); err != nil {
		return nil, from, merry.Prepend(err, "read greeting")
	}
	if string(header[:len(protocolID)]) != protocolID {
		return nil, from, merry.New("peer uses an unknown protocol")
	}
	name := make([]byte, header[len(header)-1])
	if _, err := io.ReadFull(r, name); err != nil {
		return nil, from, merry.Prepend(err, "read greeting")
	}
	from.name = string(name)
	from.epoch = binary.BigEndian.Uint64(header[len(protocolID)+nonceBytes:])
	return append(header, name...), from, nil
}

func newProof(key []byte, label string, clientGreeting, serverGreeting []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(clientGreeting)
	mac.Write(serverGreeting)
	return mac.Sum(nil)
}

func verifyProof(r io.Reader, want []byte) error {
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(r, got); err != nil {
		return merry.Prepend(err, "read proof")
	}
	if !hmac.Equal(got, want) {
		return errInvalidProof
	}
	return nil
}

// clientHandshake authenticates both ends of a connection that this end opened.
func clientHandshake(conn io.ReadWriter, key []byte, from sender) error {
	clientGreeting := newGreeting(from.name, from.epoch)
	if _, err := conn.Write(clientGreeting); err != nil {
		return merry.Prepend(err, "write greeting")
	}
	serverGreeting, _, err := readGreeting(conn)
	if err != nil {
		return err
	}
	if err := verifyProof(conn, newProof(key, serverLabel, clientGreeting, serverGreeting)); err != nil {
		return err
	}
	_, err = conn.Write(newProof(key, clientLabel, clientGreeting, serverGreeting))
	return err
}

// serverHandshake authenticates both ends of a connection that the peer opened, and
// returns the sender named in the peer's greeting.
func serverHandshake(conn io.ReadWriter, key []byte, name string) (sender, error) {
	clientGreeting, peer, err := readGreeting(conn)
	if err != nil {
		return sender{}, err
	}
	serverGreeting := newGreeting(name, 0)
	answer := slices.Concat(serverGreeting, newProof(key, serverLabel, clientGreeting, serverGreeting))
	if _, err := conn.Write(answer); err != nil {
		return sender{}, merry.Prepend(err, "write greeting")
	}
	return peer, verifyProof(conn, newProof(key, clientLabel, clientGreeting, serverGreeting))
}
