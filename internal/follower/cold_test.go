package follower

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// coldDecoder parses values such as "500 2" as the registration of a process that started 2 s
// after the epoch and is cold for another 500 ms. The pool has a limit for cold upstreams.
type coldDecoder struct{ plainDecoder }

func (coldDecoder) Configuration(value []byte) (*Configuration, error) {
	c, err := plainDecoder{}.Configuration(value)
	c.Pools["p"] = messenger.PoolPolicy{Cold: messenger.ColdPolicy{PerSecond: 12, Duration: 3 * time.Second}}
	return c, err
}

func (coldDecoder) Registration(_ string, value []byte) (messenger.UpstreamPolicy, error) {
	left, born, _ := strings.Cut(string(value), " ")
	ms, err := strconv.Atoi(left)
	if err != nil {
		return messenger.UpstreamPolicy{}, err
	}
	seconds, err := strconv.Atoi(born)
	return messenger.UpstreamPolicy{
		Pool: "p", Address: "a", ColdLeft: time.Duration(ms) * time.Millisecond, Started: epoch.Add(time.Duration(seconds) * time.Second),
	}, err
}

// TestColdTimeOfUpstreams guards against an upstream that is taken for warm while it is cold, and
// against cold times that begin again with each snapshot.
func TestColdTimeOfUpstreams(t *testing.T) {
	f := New(coldDecoder{})
	f.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 1, HasEvacuations: true, Rows: []Row{{Key: "c", Value: []byte("x"), Version: 1}}})
	version := uint64(1)
	row := func(value string) func(time.Time) {
		return func(now time.Time) {
			version++
			f.Merge(now, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u", Value: []byte(value), Version: version}}})
		}
	}
	for _, step := range []struct {
		name string
		atMS int
		do   func(now time.Time)
		// want is the end of the cold time, in milliseconds; 0 means warm.
		wantMS int
	}{
		{"row after the start", 1000, row("2992 0"), 3992},
		{"later row", 2200, row("1708 0"), 3908},
		{"last row", 4600, row("0 0"), 0},
		{"cold again without a restart", 6000, row("800 0"), 6800},
		{"answer says less", 6100, func(now time.Time) { f.RecordCold(now, "u", "a", 300*time.Millisecond) }, 6400},
		{"answer says more", 6200, func(now time.Time) { f.RecordCold(now, "u", "a", 3*time.Second) }, 9200},
		{"row from before that answer", 6300, row("0 0"), 9200},
		{"row from after that answer", 7800, row("1000 0"), 8800},
		{"warm", 9000, row("0 0"), 0},
		{"process ended", 10000, func(now time.Time) { f.RecordEnd(now, "u", "a") }, 10000 + int(maxReturnTime.Milliseconds())},
		{"row of the ended process", 10500, row("0 0"), 10000 + int(maxReturnTime.Milliseconds())},
		{"answers again", 11000, func(now time.Time) { f.RecordReturn(now, "u", "a") }, 14000},
		{"row of the new process", 11200, row("2900 11"), 14100},
		{"ended again", 12000, func(now time.Time) { f.RecordEnd(now, "u", "a") }, 12000 + int(maxReturnTime.Milliseconds())},
		{"new process is warm", 12400, row("0 12"), 0},
		{"end seen at another address", 13000, func(now time.Time) { f.RecordEnd(now, "u", "elsewhere") }, 0},
	} {
		step.do(epoch.Add(time.Duration(step.atMS) * time.Millisecond))
		want := time.Time{}
		if step.wantMS > 0 {
			want = epoch.Add(time.Duration(step.wantMS) * time.Millisecond)
		}
		for range 2 {
			if got := f.Snapshot().Policy.Upstreams["u"].ColdUntil; !got.Equal(want) {
				t.Errorf("%s: got cold until %v, want %v", step.name, got, want)
			}
		}
	}
}

// TestEndsAreSharedOnce guards against an upstream that some routers take for warm after a crash, and
// against ends that two routers tell each other again and again after a row has cleared them.
func TestEndsAreSharedOnce(t *testing.T) {
	a, b := New(coldDecoder{}), New(coldDecoder{})
	for _, f := range []*Follower{a, b} {
		f.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 1, HasEvacuations: true, Rows: []Row{{Key: "c", Value: []byte("x"), Version: 1}}})
		f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u", Value: []byte("0 0"), Version: 2}}})
	}
	a.RecordEnd(epoch.Add(time.Second), "u", "a")
	now := epoch.Add(1300 * time.Millisecond)
	ended := a.EndedProcesses(now)
	if len(ended) != 1 || !b.RecordPeerEnd(now, ended[0]) || !b.Snapshot().Policy.Upstreams["u"].IsCold(now) {
		t.Fatalf("got %v, want the end passed on and the upstream cold", ended)
	}
	if b.RecordPeerEnd(now, ended[0]) {
		t.Error("the same end is news again")
	}
	now = epoch.Add(3 * time.Second)
	b.Merge(now, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u", Value: []byte("0 0"), Version: 3}}})
	if b.RecordPeerEnd(now.Add(200*time.Millisecond), a.EndedProcesses(now)[0]) {
		t.Error("an end is news after a later row has cleared it")
	}
	b.Merge(now, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u", Value: []byte("900 3"), Version: 4}}})
	if b.RecordPeerEnd(now, a.EndedProcesses(now)[0]) {
		t.Error("the end of an earlier process is news")
	}
}

// TestWithoutLimitNothingIsCold guards against changes in fleets whose configuration has no limit.
func TestWithoutLimitNothingIsCold(t *testing.T) {
	f := newFollower(t)
	if f.RecordCold(epoch, "u1", "", time.Second) || f.RecordEnd(epoch, "u1", "") || f.RecordReturn(epoch, "u1", "") {
		t.Error("an upstream of a pool without a limit counts as cold")
	}
}

// TestReturnIsShared guards against an upstream that the other routers leave unused for ten minutes
// while the store is unavailable: without a row, only the few routers with a share of its rate get
// an answer from its new process.
func TestReturnIsShared(t *testing.T) {
	a, b := New(coldDecoder{}), New(coldDecoder{})
	for _, f := range []*Follower{a, b} {
		f.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 1, HasEvacuations: true, Rows: []Row{{Key: "c", Value: []byte("x"), Version: 1}}})
		f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u", Value: []byte("0 0"), Version: 2}}})
	}
	now := epoch
	exchange := func(d time.Duration) {
		now = now.Add(d)
		for _, p := range a.EndedProcesses(now) {
			b.RecordPeerEnd(now, p)
		}
		for _, p := range b.EndedProcesses(now) {
			a.RecordPeerEnd(now, p)
		}
	}
	a.RecordEnd(now, "u", "a")
	exchange(500 * time.Millisecond)
	a.RecordReturn(now, "u", "a")
	returned := now
	exchange(500 * time.Millisecond)
	for name, f := range map[string]*Follower{"that got an answer": a, "that got none": b} {
		u := f.Snapshot().Policy.Upstreams["u"]
		if at := returned.Add(2900 * time.Millisecond); !u.IsCold(at) {
			t.Errorf("router %s: upstream is warm %v after its return, want it cold for 3s", name, at.Sub(returned))
		}
		if at := returned.Add(4 * time.Second); u.IsCold(at) {
			t.Errorf("router %s: upstream is still cold %v after its return, until %v after it", name, at.Sub(returned), u.ColdUntil.Sub(returned))
		}
	}
}
