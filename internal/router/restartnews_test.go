//go:build red

package router

import (
	"testing"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/messenger"
)

// TestRestartedRouterIsToldAll has a router start again right after it was sent something.
func TestRestartedRouterIsToldAll(t *testing.T) {
	n := newNewsFleet(t)
	n.change(follower.Row{Key: "u1", Value: []byte("leaving")}, false)
	n.exchange()
	n.told = n.router("told")
	n.told.meet(Member{Name: "teller"}).live = true
	n.teller.receive(hostedEnvelope{From: Member{Name: "told", Incarnation: 2}, Kind: reported, Load: &messenger.PeerLoad{}})
	n.pass(leavingBound)
	if !n.believes(n.told, "u2") || n.believes(n.told, "u1") {
		t.Error("a router that was started again does not have what was sent to it before")
	}
}
