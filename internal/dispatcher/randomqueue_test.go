package dispatcher

import (
	"math/rand/v2"
	"slices"
	"sync"

	"lentilwood.example/lentilwood/internal/messenger"
)

// randomQueue is a scheduler that places one request anywhere, hedges now and
// then, and lets a Dispatch cross an Abandon.
type randomQueue struct {
	actions chan messenger.Action
	names   []messenger.UpstreamID

	mu         sync.Mutex
	rng        *rand.Rand
	id         messenger.RequestID
	idempotent bool
	dispatched map[messenger.UpstreamID]int
	finished   map[messenger.UpstreamID]int
	turns      int
}

func newRandomQueue(rng *rand.Rand, req *Request, pool fixedUpstreams) *randomQueue {
	q := &randomQueue{
		actions: make(chan messenger.Action, 32), rng: rand.New(rand.NewPCG(rng.Uint64(), 5)),
		id: req.ID, idempotent: req.Arrive.Idempotent,
		dispatched: make(map[messenger.UpstreamID]int), finished: make(map[messenger.UpstreamID]int),
	}
	for id := range pool {
		q.names = append(q.names, id)
	}
	slices.Sort(q.names)
	return q
}

func (q *randomQueue) Actions() <-chan messenger.Action { return q.actions }

func (q *randomQueue) Notify(e messenger.Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch e := e.(type) {
	case messenger.Arrive:
		q.place()
	case messenger.Finish:
		q.finished[e.Upstream]++
		if e.Retry {
			q.place()
		}
	case messenger.Abandon:
		if q.turns == 0 && q.rng.IntN(2) == 0 {
			q.dispatch(false)
		}
	}
}

// place answers a request for a turn.
func (q *randomQueue) place() {
	if q.turns > 5 || q.rng.IntN(12) == 0 {
		q.actions <- messenger.Refuse{Request: q.id, Reason: messenger.RefuseNoUpstream}
		return
	}
	q.turns++
	q.dispatch(false)
	if q.rng.IntN(4) == 0 {
		q.dispatch(true)
	}
}

// dispatch places the request on an upstream that does not have it.
func (q *randomQueue) dispatch(hedge bool) {
	first := q.rng.IntN(len(q.names))
	for i := range q.names {
		id := q.names[(first+i)%len(q.names)]
		if q.dispatched[id] == q.finished[id] {
			q.dispatched[id]++
			q.actions <- messenger.Dispatch{Request: q.id, Upstream: id, Hedge: hedge}
			return
		}
	}
}

// open returns how many upstreams were dispatched to more or less often than
// they were finished.
func (q *randomQueue) open() int {
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
