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

// The two ends of a connection prove to each other that they know the shared
// key. The client opens with a greeting, the server answers with its own and a
// proof over both, the client ends with its proof. A greeting is
//
//	protocol (4 bytes) | nonce (16 bytes) | epoch (8 bytes) | length (1 byte) | name
//
// where the epoch tells runs of a sender apart,
// and a proof is an HMAC-SHA256 over the role's label and both greetings.
const (
	protocol   = "LWX1"
	nonceBytes = 16
	epochBytes = 8
	maxName    = 255

	clientLabel = "client"
	serverLabel = "server"
)

var errProof = merry.Sentinel("the other end does not know the shared key")

func newEpoch() uint64 {
	var b [epochBytes]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

func newGreeting(name string, epoch uint64) []byte {
	name = name[:min(len(name), maxName)]
	g := append([]byte(protocol), make([]byte, nonceBytes)...)
	_, _ = rand.Read(g[len(protocol):])
	g = binary.BigEndian.AppendUint64(g, epoch)
	g = append(g, byte(len(name)))
	return append(g, name...)
}

// sender is what a greeting says of the end that sent it.
type sender struct {
	name  string
	epoch uint64
}

// readGreeting returns a greeting whole and the sender in it.
func readGreeting(r io.Reader) (greeting []byte, from sender, err error) {
	fixed := make([]byte, len(protocol)+nonceBytes+epochBytes+1)
	if _, err := io.ReadFull(r, fixed); err != nil {
		return nil, from, merry.Prepend(err, "read greeting")
	}
	if string(fixed[:len(protocol)]) != protocol {
		return nil, from, merry.New("the other end speaks another protocol")
	}
	text := make([]byte, fixed[len(fixed)-1])
	if _, err := io.ReadFull(r, text); err != nil {
		return nil, from, merry.Prepend(err, "read greeting")
	}
	from.name = string(text)
	from.epoch = binary.BigEndian.Uint64(fixed[len(protocol)+nonceBytes:])
	return append(fixed, text...), from, nil
}

func proof(key []byte, label string, client, server []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(client)
	mac.Write(server)
	return mac.Sum(nil)
}

func checkProof(r io.Reader, want []byte) error {
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(r, got); err != nil {
		return merry.Prepend(err, "read proof")
	}
	if !hmac.Equal(got, want) {
		return errProof
	}
	return nil
}

// greetAsClient authenticates the connection that this end opened.
func greetAsClient(conn io.ReadWriter, key []byte, from sender) error {
	client := newGreeting(from.name, from.epoch)
	if _, err := conn.Write(client); err != nil {
		return merry.Prepend(err, "write greeting")
	}
	server, _, err := readGreeting(conn)
	if err != nil {
		return err
	}
	if err := checkProof(conn, proof(key, serverLabel, client, server)); err != nil {
		return err
	}
	_, err = conn.Write(proof(key, clientLabel, client, server))
	return err
}

// greetAsServer authenticates a connection that the other end opened, and
// returns what the other end said of itself.
func greetAsServer(conn io.ReadWriter, key []byte, name string) (sender, error) {
	client, peer, err := readGreeting(conn)
	if err != nil {
		return sender{}, err
	}
	server := newGreeting(name, 0)
	answer := slices.Concat(server, proof(key, serverLabel, client, server))
	if _, err := conn.Write(answer); err != nil {
		return sender{}, merry.Prepend(err, "write greeting")
	}
	return peer, checkProof(conn, proof(key, clientLabel, client, server))
}
