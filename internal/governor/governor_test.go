package governor

import (
	"slices"
	"testing"
	"time"
)

const mb = 1 << 20

// TestLargeBodiesLeaveRoomForSmallOnes guards against ordinary requests that are refused because
// large bodies fill the account (16 uploads of 4 MB at a router of 134 MB).
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	g := New(Config{TotalBytes: 48 * mb})
	large := 0
	for range 48 {
		h := g.Open("a")
		if h.Grow(4*mb) == Admitted {
			large++
		}
	}
	if large == 0 || g.UsedBytes() > 48*mb*largePercent/percent {
		t.Errorf("got %d large bodies, %d bytes, want some and at most %d%%", large, g.UsedBytes(), largePercent)
	}
	for i := range 200 {
		if v := g.Open("a").Grow(72 << 10); v != Admitted {
			t.Fatalf("small request %d: got %v, want admitted", i, v)
		}
	}
}

func TestBounds(t *testing.T) {
	g := New(Config{TotalBytes: 100 * mb, ConnBytes: 10 * mb, ClientBytes: 15 * mb})
	one, other, third := g.Open("a"), g.Open("a"), g.Open("b")
	for _, step := range []struct {
		h    *Holder
		n    int64
		want Verdict
	}{
		{one, 11 * mb, OverConn},
		{one, 10 * mb, Admitted},
		{other, 6 * mb, OverClient},
		{other, 5 * mb, Admitted},
		{third, 10 * mb, Admitted},
	} {
		if got := step.h.Grow(step.n); got != step.want {
			t.Errorf("%d bytes: got %v, want %v", step.n, got, step.want)
		}
	}
	g.Squeeze(true)
	if got := g.Open("c").Grow(mb); got != Squeezed {
		t.Errorf("large body while squeezed: got %v, want %v", got, Squeezed)
	}
	if got := g.Open("c").Grow(1 << 10); got != Admitted {
		t.Errorf("small body while squeezed: got %v, want %v", got, Admitted)
	}
}

// TestNothingStaysCharged guards against reservations that are never released, which would
// starve the router.
func TestNothingStaysCharged(t *testing.T) {
	g := New(Config{TotalBytes: 100 * mb})
	h := g.Open("a")
	for _, n := range []int64{1 << 10, 64 << 10, mb} {
		h.Grow(n)
	}
	h.Shrink(mb)
	h.Close()
	h.Shrink(65 << 10)
	h.Close()
	g.Charge(KindAnswers, 5)
	g.Charge(KindAnswers, -5)
	if g.UsedBytes() != 0 || h.client.large.Load() != 0 || g.Clients() != 0 || g.KindBytes(KindRequests) != 0 {
		t.Errorf("got %d bytes, %d of the client, %d clients, want none", g.UsedBytes(), h.client.large.Load(), g.Clients())
	}
}

func TestStoppedThenCostlyAreShedFirst(t *testing.T) {
	g := New(Config{TotalBytes: 10 * mb})
	g.Charge(KindRequests, 9*mb)
	now := time.Unix(1000, 0)
	candidates := []Candidate{
		{Index: 0, Bytes: mb / 8, Age: time.Second},
		{Index: 1, Bytes: mb, Age: 2 * time.Second},
		{Index: 2, Bytes: mb, Age: time.Second, Idle: stallTime},
		{Index: 3, Bytes: mb / 2, Age: time.Second},
	}
	if got, want := g.ChooseShed(now, candidates), []int{2, 1}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := g.ChooseShed(now.Add(shedInterval/2), candidates); got != nil {
		t.Errorf("right after: got %v, want none", got)
	}
	g.Charge(KindRequests, -3*mb)
	if got := g.ChooseShed(now.Add(time.Second), candidates); got != nil {
		t.Errorf("without pressure: got %v, want none", got)
	}
	// Without this, large bodies that stopped would keep others out until they time out.
	g.Open("a").Grow(mb)
	if got, want := g.ChooseShed(now.Add(2*time.Second), candidates), []int{2}; !slices.Equal(got, want) {
		t.Errorf("after a large body found no room: got %v, want %v", got, want)
	}
}

// TestArrivingSmallRequestsAreSpared guards against ordinary requests that are all refused while
// running requests and answers take most of the account: to shed them gives no room.
func TestArrivingSmallRequestsAreSpared(t *testing.T) {
	g := New(Config{TotalBytes: 100 * mb})
	g.Charge(KindAnswers, 85*mb)
	candidates := []Candidate{
		{Index: 0, Bytes: 72 << 10, Age: 20 * time.Millisecond},
		{Index: 1, Bytes: 72 << 10, Age: time.Second, Idle: stallTime},
		{Index: 2, Bytes: mb, Age: time.Second},
	}
	if got, want := g.ChooseShed(time.Unix(1000, 0), candidates), []int{1, 2}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	g.Charge(KindAnswers, 14*mb)
	if got, want := g.ChooseShed(time.Unix(1001, 0), candidates), []int{1, 2, 0}; !slices.Equal(got, want) {
		t.Errorf("almost full: got %v, want %v", got, want)
	}
}

// TestClosedConnectionCountsForItsClient guards against a client that passes its bound by closing
// connections whose requests still run.
func TestClosedConnectionCountsForItsClient(t *testing.T) {
	g := New(Config{TotalBytes: 100 * mb, ClientBytes: 10 * mb})
	first := g.Open("a")
	first.Grow(8 * mb)
	first.Close()
	second := g.Open("a")
	if got := second.Grow(4 * mb); got != OverClient {
		t.Errorf("got %v, want %v", got, OverClient)
	}
	first.Shrink(8 * mb)
	if got := second.Grow(4 * mb); got != Admitted {
		t.Errorf("after the request has ended: got %v, want %v", got, Admitted)
	}
	second.Shrink(4 * mb)
	second.Close()
	if g.Clients() != 0 {
		t.Errorf("got %d clients, want none", g.Clients())
	}
}

// TestSlowLargeBodiesAreShed guards against clients that send a byte of a large body now and then:
// they never stop, and kept others out until the read timeout, which is 30 s by default.
func TestSlowLargeBodiesAreShed(t *testing.T) {
	g := New(Config{TotalBytes: 10 * mb})
	g.Charge(KindRequests, 6*mb)
	g.Open("a").Grow(mb)
	candidates := []Candidate{
		{Index: 0, Bytes: 3 * mb, Age: 3500 * time.Millisecond, Idle: 100 * time.Millisecond},
		{Index: 1, Bytes: 3 * mb, Age: 2900 * time.Millisecond, Idle: 100 * time.Millisecond},
	}
	if got, want := g.ChooseShed(time.Unix(1000, 0), candidates), []int{0}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
