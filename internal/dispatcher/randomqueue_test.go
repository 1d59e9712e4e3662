package dispatcher

import (
	"math/rand/v2"
	"slices"
	"sync"

	"lentilwood.example/lentilwood/internal/messenger"
)

// randomQueue is a scheduler that dispatches a request to random upstreams, sometimes
// hedges it, and sometimes sends a Dispatch after an Abandon.
type randomQueue struct {
	actions   chan messenger.Action
	upstreams []messenger.UpstreamID

	mu         sync.Mutex
	rng        *rand.Rand
	id         messenger.RequestID
	idempotent bool
	dispatched map[messenger.UpstreamID]int
	finished   map[messenger.UpstreamID]int
	placements int
}

func newRandomQueue(rng *rand.Rand, req *Request, pool fixedUpstreams) *randomQueue {
	q := &randomQueue{
		actions: make(chan messenger.Action, 32), rng: rand.New(rand.NewPCG(rng.Uint64(), 5)),
		id: req.ID, idempotent: req.Arrive.Idempotent,
		dispatched: make(map[messenger.UpstreamID]int), finished: make(map[messenger.UpstreamID]int),
	}
	for id := range pool {
		q.upstreams = append(q.upstreams, id)
	}
	slices.Sort(q.upstreams)
	return q
}

func (q *randomQueue) Actions() <-chan messenger.Action { return q.actions }

func (q *randomQueue) Notify(e messenger.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch e := e.(type) {
	case messenger.Arrive:
		q.dispatchOrRefuse()
	case messenger.Finish:
		q.finished[e.Upstream]++
		if e.Retry {
			q.dispatchOrRefuse()
		}
	case messenger.Abandon:
		if q.placements == 0 && q.rng.IntN(2) == 0 {
			q.dispatch(false)
		}
	}
}

// dispatchOrRefuse dispatches the request, sometimes with a hedge, or refuses it.
func (q *randomQueue) dispatchOrRefuse() {
	if q.placements > 5 || q.rng.IntN(12) == 0 {
		q.actions <- messenger.Refuse{Request: q.id, Reason: messenger.RefuseNoUpstream}
		return
	}
	q.placements++
	q.dispatch(false)
	if q.rng.IntN(4) == 0 {
		q.dispatch(true)
	}
}

// dispatch dispatches the request to an upstream that does not have it.
func (q *randomQueue) dispatch(hedge bool) {
	first := q.rng.IntN(len(q.upstreams))
	for i := range q.upstreams {
		id := q.upstreams[(first+i)%len(q.upstreams)]
		if q.dispatched[id] == q.finished[id] {
			q.dispatched[id]++
			q.actions <- messenger.Dispatch{Request: q.id, Upstream: id, Hedge: hedge}
			return
		}
	}
}

// unfinished returns the number of upstreams whose Dispatch and Finish counts differ.
func (q *randomQueue) unfinished() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for id := range q.dispatched {
		if q.dispatched[id] != q.finished[id] {
			n++
		}
	}
	return n
}
