package governor

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind says on whose behalf bytes are held.
type Kind int

// Kinds of bytes.
const (
	// KindRequests are heads and bodies of requests that are received, wait or run.
	KindRequests Kind = iota
	// KindAnswers are answers on their way to callers, with unfinished events.
	KindAnswers
	// KindReadAhead are bytes from upstreams that no request has taken yet: heads, read-ahead
	// bodies and answers that belong to no request.
	KindReadAhead
	numKinds
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{KindRequests, KindAnswers, KindReadAhead} }

// String returns the name of the kind in metrics.
func (k Kind) String() string { return [...]string{"requests", "answers", "readAhead"}[k] }

// Verdict is the answer to a reservation.
type Verdict int

// Verdicts.
const (
	Admitted Verdict = iota
	// OverTotal, OverClient and OverConn name the bound that has no room. Squeezed means that
	// the process uses too much memory whatever the account says.
	OverTotal
	OverClient
	OverConn
	Squeezed
)

// String returns the name of the verdict in log lines.
func (v Verdict) String() string {
	return [...]string{"admitted", "total", "client", "connection", "squeezed"}[v]
}

// usage is what a reservation is judged by.
type usage struct {
	used, held, client int64
	squeezed           bool
}

// admit decides whether a connection may hold n more bytes.
func (c *Config) admit(u usage, n int64) Verdict {
	if u.used+n > c.TotalBytes {
		return OverTotal
	}
	if u.held+n <= c.SmallBytes {
		return Admitted
	}
	switch {
	case u.held+n > c.ConnBytes:
		return OverConn
	case u.squeezed:
		return Squeezed
	case u.client+n > c.ClientBytes:
		return OverClient
	case u.used+n > c.TotalBytes*largePercent/percent:
		return OverTotal
	}
	return Admitted
}

// largePart returns the bytes of a holder that count towards its client.
func (c *Config) largePart(held int64) int64 {
	if held <= c.SmallBytes {
		return 0
	}
	return held
}

const (
	// stallTime is how long an unfinished request may bring no byte before it counts as
	// stopped. It is well below arrivalLimit, within which a request arrives by the specified
	// limits; one that takes longer counts as stopped, however often it brings a byte.
	stallTime    = 750 * time.Millisecond
	arrivalLimit = 3 * time.Second
	// shedInterval is the shortest time between two choices, so that connections chosen last
	// have ended and released what they held.
	shedInterval = 100 * time.Millisecond
	// relievedPercent of the total is what shedding leaves in use under pressure. Small requests
	// that still arrive are shed only down to spareSmallPercent: where running requests and answers
	// take the account, shedding them all would not relieve it.
	relievedPercent   = 70
	spareSmallPercent = 90
)

// Candidate is a connection that is receiving an unfinished request.
type Candidate struct {
	// Index identifies the connection to the user of ChooseShed.
	Index int
	Bytes int64
	// Age is how long the request has been arriving, Idle how long it has brought no byte.
	Age, Idle time.Duration
}

// Stopped reports whether the request has stopped short of its end, or arrives too slowly.
func (c Candidate) Stopped() bool { return c.Idle >= stallTime || c.Age > arrivalLimit }

// cost is the memory that a connection holds times the time that it has held it. It is high for
// slow connections and for those that hold most.
func (c Candidate) cost() float64 { return float64(c.Bytes) * c.Age.Seconds() }

// ChooseShed returns the candidates to shed, by Index. Under pressure these are as many as
// relieve the account: first those that have stopped, then those that cost most; small ones that
// still arrive only while the account is almost full. Without pressure, if a large request found
// no room, they are all large ones that have stopped, so that these don't keep the room for large
// requests until they time out. It returns nil if candidates were chosen within the last
// shedInterval.
func (g *Governor) ChooseShed(now time.Time, candidates []Candidate) []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.NeedsShedding() || now.Sub(g.shedAt) < shedInterval {
		return nil
	}
	excess := g.used.Load() - g.cfg.TotalBytes*relievedPercent/percent
	if !g.underPressure() {
		excess = math.MaxInt64
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
			return !c.Stopped() || c.Bytes <= g.cfg.SmallBytes
		})
	}
	g.largeRefused.Store(false)
	chosen := g.cfg.choose(candidates, excess)
	if len(chosen) > 0 {
		g.shedAt = now
		g.shed.Add(uint64(len(chosen)))
	}
	return chosen
}

// choose returns candidates that hold at least the excess together, or all that may be shed.
func (c *Config) choose(candidates []Candidate, excess int64) []int {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		if a.Stopped() != b.Stopped() {
			if a.Stopped() {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.cost(), a.cost())
	})
	spared := c.TotalBytes * (spareSmallPercent - relievedPercent) / percent
	var chosen []int
	for _, next := range sorted {
		bound := int64(0)
		if next.Bytes <= c.SmallBytes && !next.Stopped() {
			bound = spared
		}
		if excess <= bound {
			continue
		}
		excess -= next.Bytes
		chosen = append(chosen, next.Index)
	}
	return chosen
}
