package meter

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// PeerKind is the other side of control traffic.
type PeerKind string

// The kinds of peers.
const (
	PeerRouter   PeerKind = "router"
	PeerPlatform PeerKind = "platform"
	PeerUpstream PeerKind = "upstream"
)

// ControlSent returns the counter of control bytes sent to a kind of peer.
func (m *Meter) ControlSent(kind PeerKind) *metrics.Counter { return m.control("sent", kind) }

// ControlReceived returns the counter of control bytes received from a kind of
// peer.
func (m *Meter) ControlReceived(kind PeerKind) *metrics.Counter {
	return m.control("received", kind)
}

func (m *Meter) control(direction string, kind PeerKind) *metrics.Counter {
	return m.Counter(fmt.Sprintf("lentilwood_control_bytes_total{direction=%q,peer=%q}", direction, kind))
}
