package drainer

import (
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

var start = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

func newDrainer(n int) *Drainer {
	d := New()
	upstreams := make(map[messenger.UpstreamID]messenger.UpstreamPolicy)
	for i := range n {
		upstreams[messenger.UpstreamID(fmt.Sprintf("w%d", i))] = messenger.UpstreamPolicy{Address: fmt.Sprintf("10.0.0.%d:8000", i)}
	}
	d.SetUpstreams(upstreams)
	return d
}

func TestSourcesAreIndependent(t *testing.T) {
	d := newDrainer(2)
	d.ReceiveLoadReport(start, "w0", true)
	d.ReceiveVMList(start, []storer.VM{{Name: "w0"}})
	if !d.Leaving("w0") {
		t.Error("w0 is no longer leaving after the VM list, want the load report to count")
	}
	d.ReceiveVMList(start, []storer.VM{{Name: "vm", Address: "10.0.0.1", Leaving: true}})
	if !d.Leaving("w1") {
		t.Error("w1 is not leaving, want it matched to the leaving VM by its IP address")
	}
}

// TestMergeIsIndependentOfOrder receives the same updates in all orders, each of them twice.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	updates := []Update{
		{Upstream: "w0", Version: 1, Leaving: true},
		{Upstream: "w0", Version: 2},
		{Upstream: "w0", Version: 2, Leaving: true},
		{Upstream: "w0", Version: 3},
		{Upstream: "w0", Version: 3, Leaving: true},
	}
	permute(updates, func(order []Update) {
		d := newDrainer(1)
		for _, u := range order {
			d.Receive([]Update{u}, 0)
			d.Receive([]Update{u}, 0)
		}
		if got := d.entries[key{"w0", SourceVMList}].Update; got != updates[4] {
			t.Fatalf("order %v: got %+v, want %+v", order, got, updates[4])
		}
	})
}

func permute(updates []Update, do func([]Update)) {
	order := append([]Update(nil), updates...)
	var next func(int)
	next = func(i int) {
		if i == len(order) {
			do(order)
			return
		}
		for j := i; j < len(order); j++ {
			order[i], order[j] = order[j], order[i]
			next(i + 1)
			order[i], order[j] = order[j], order[i]
		}
	}
	next(0)
}

// TestRejoinedPeerReceivesAllEntries guards against entries that a peer never receives: all
// messages with the changes were lost, so only the checksum shows that the peer lacks them.
func TestRejoinedPeerReceivesAllEntries(t *testing.T) {
	const n = 100
	a, b := newDrainer(n), newDrainer(n)
	for i := range n {
		a.ReceiveLoadReport(start, messenger.UpstreamID(fmt.Sprintf("w%d", i)), true)
	}
	for range n * updateRepeats {
		a.NextUpdates() // lost on the way to the peer
	}
	rounds := 0
	for ; a.Checksum() != b.Checksum() && rounds < 100; rounds++ {
		a.Receive(b.NextUpdates(), b.Checksum())
		b.Receive(a.NextUpdates(), a.Checksum())
	}
	if want := 2 * n / updatesPerMessage; rounds > want {
		t.Errorf("got %d rounds until the checksums agree, want at most %d", rounds, want)
	}
	if a.Receive(b.NextUpdates(), b.Checksum()); len(a.NextUpdates()) > updatesPerMessage {
		t.Error("got a message with more updates than updatesPerMessage")
	}
}

func TestOverlayDoesNotChangePolicy(t *testing.T) {
	d := newDrainer(1)
	d.ReceiveLoadReport(start, "w0", true)
	p := &messenger.Policy{Upstreams: d.upstreams}
	if got := d.Overlay(p); !got.Upstreams["w0"].Leaving || p.Upstreams["w0"].Leaving {
		t.Errorf("got %+v from %+v, want a copy with w0 leaving and an unchanged original", got.Upstreams, p.Upstreams)
	}
}
