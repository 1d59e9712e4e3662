package scheduler

import (
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// longEstimateFactor is the multiple of its estimated cost at which a running request counts
// as long.
const longEstimateFactor = 4

// avoidDuration is how long after a failed attempt a request is not sent to the same upstream,
// if there is another one.
const avoidDuration = 500 * time.Millisecond

// request is the state of one request from its arrival to its end.
type request struct {
	arrive    messenger.Arrive
	queue     *queue
	arrivedAt time.Time
	// expiresAt is when a waiting request is refused; zero means never.
	expiresAt time.Time
	// estimatedCost is the cost assumed at dispatch, chargedTokens the charges to the account
	// so far, and producedTokens the output of the request so far. All are in tokens.
	estimatedCost, chargedTokens, producedTokens float64
	long                                         bool
	waiting                                      bool
	// upstreams lists the upstreams that run a copy now: two if the request is hedged.
	// avoidUpstream is the upstream of the last failed attempt.
	upstreams     []messenger.UpstreamID
	avoidUpstream messenger.UpstreamID
	avoidUntil    time.Time

	// dispatchedAt is when the request was last dispatched; lastOutputAt is when it last
	// produced tokens, zero if it has produced none since.
	dispatchedAt, lastOutputAt time.Time
	hedge                      *hedge

	prev, next  *request
	expiryIndex int
}

func (r *request) less(other *request) bool { return r.expiresAt.Before(other.expiresAt) }

func (r *request) index() *int { return &r.expiryIndex }

// queue holds the waiting requests of one client account in one class, in order of arrival.
type queue struct {
	flow       *flow
	class      *class
	head, tail *request
	n          int
	heapIndex  int
}

func (q *queue) less(other *queue) bool {
	if q.flow.tag != other.flow.tag {
		return q.flow.tag < other.flow.tag
	}
	return q.flow.account < other.flow.account
}

func (q *queue) index() *int { return &q.heapIndex }

// push appends r.
func (q *queue) push(r *request) {
	r.prev, r.next = q.tail, nil
	if q.tail == nil {
		q.head = r
	} else {
		q.tail.next = r
	}
	q.tail = r
	q.n++
}

// pushFront inserts r at the head.
func (q *queue) pushFront(r *request) {
	r.prev, r.next = nil, q.head
	if q.head == nil {
		q.tail = r
	} else {
		q.head.prev = r
	}
	q.head = r
	q.n++
}

// remove unlinks r.
func (q *queue) remove(r *request) {
	if r.prev == nil {
		q.head = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		q.tail = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
	q.n--
}

// handleArrive queues a request or refuses it.
func (s *Scheduler) handleArrive(e messenger.Arrive) {
	if _, ok := s.requests[e.Request]; ok {
		return
	}
	p, ok := s.pools[e.Pool]
	if !ok {
		s.emit(messenger.Refuse{Request: e.Request, Reason: messenger.RefuseUnknownPool, RetryAfter: minRetryAfter})
		return
	}
	if p.placer.Usable() == 0 {
		s.emit(messenger.Refuse{Request: e.Request, Reason: messenger.RefuseNoUpstream, RetryAfter: minRetryAfter})
		return
	}
	f := p.flowOf(e.Account)
	f.countArrival(s.now)
	q := f.queueOf(p.classOf(e.Class))
	r := &request{arrive: e, queue: q, arrivedAt: s.now, expiryIndex: -1}
	r.expiresAt = expiryTime(s.now, e.Deadline, q.class.policy.QueueTimeout)
	wait := p.estimatedWait(q)
	if !r.expiresAt.IsZero() && s.now.Add(wait).After(r.expiresAt) {
		s.refuse(r, messenger.RefuseDeadline, wait)
		return
	}
	if reason, retryAfter, ok := s.limits.Admit(s.now, e.Account, f.backlog()); !ok {
		s.refuse(r, reason, max(retryAfter, wait))
		return
	}
	s.requests[e.Request] = r
	p.enqueue(r)
	p.dispatch()
}

// expiryTime returns the earlier of the deadline and the end of the queue timeout; zero means
// that there is neither.
func expiryTime(now, deadline time.Time, timeout time.Duration) time.Time {
	if timeout <= 0 {
		return deadline
	}
	end := now.Add(timeout)
	if !deadline.IsZero() && deadline.Before(end) {
		return deadline
	}
	return end
}

// refuse emits the refusal of a request that is not in a queue.
func (s *Scheduler) refuse(r *request, reason messenger.RefuseReason, retryAfter time.Duration) {
	s.emit(messenger.Refuse{Request: r.arrive.Request, Reason: reason, RetryAfter: clampRetryAfter(retryAfter)})
}

// handleProgress records the tokens that a request produced and charges the tokens beyond its
// estimate.
func (s *Scheduler) handleProgress(e messenger.Progress) {
	r, ok := s.requests[e.Request]
	if !ok || r.waiting {
		return
	}
	p := r.queue.flow.pool
	p.observeSpeed(r, e)
	r.producedTokens += e.Tokens
	if r.producedTokens > r.chargedTokens {
		p.charge(r, r.producedTokens-r.chargedTokens)
	}
	if !r.long && r.producedTokens > longEstimateFactor*r.estimatedCost {
		r.long = true
		for _, u := range r.upstreams {
			p.placer.MarkLong(u)
		}
	}
}

// observeSpeed reports the latency of an upstream to the placer. While two copies run, it is
// unknown which of them produced the output, so nothing is reported.
func (p *pool) observeSpeed(r *request, e messenger.Progress) {
	now := p.sched.now
	if e.First || r.lastOutputAt.IsZero() {
		p.sched.cancelHedge(r)
	}
	if len(r.upstreams) == 1 {
		if e.First || r.lastOutputAt.IsZero() {
			p.placer.ObserveFirstOutput(now, r.upstreams[0], now.Sub(r.dispatchedAt))
		} else {
			p.placer.ObserveTokens(now, r.upstreams[0], e.Tokens, now.Sub(r.lastOutputAt))
		}
	}
	r.lastOutputAt = now
}

// handleFinish ends an attempt. It ends the request too, unless another copy runs or the
// request is retried.
func (s *Scheduler) handleFinish(e messenger.Finish) {
	r, ok := s.requests[e.Request]
	if !ok || !r.removeCopy(e.Upstream) {
		return
	}
	p := r.queue.flow.pool
	p.placer.End(s.now, e.Upstream, r.long)
	s.cancelHedge(r)
	if l, ok := p.leases[e.Upstream]; ok {
		p.yieldFreedSlot(l)
	}
	r.producedTokens = max(r.producedTokens, e.Tokens)
	switch {
	case len(r.upstreams) > 0:
	case e.Retry:
		r.avoidUpstream, r.avoidUntil = e.Upstream, s.now.Add(avoidDuration)
		p.requeue(r)
	default:
		p.settleCharges(r, e.Failed)
		delete(s.requests, e.Request)
	}
	p.dispatch()
}

// removeCopy removes the copy on an upstream and reports whether there was one.
func (r *request) removeCopy(id messenger.UpstreamID) bool {
	for i, u := range r.upstreams {
		if u == id {
			r.upstreams = append(r.upstreams[:i], r.upstreams[i+1:]...)
			return true
		}
	}
	return false
}

// handleAbandon removes a waiting request that its caller gave up.
func (s *Scheduler) handleAbandon(e messenger.Abandon) {
	if r, ok := s.requests[e.Request]; ok && r.waiting {
		s.dropWaiting(r)
	}
}

// dropWaiting removes a waiting request and settles the charges of its failed attempts.
func (s *Scheduler) dropWaiting(r *request) {
	p := r.queue.flow.pool
	p.dequeue(r)
	if r.chargedTokens > 0 {
		p.settleCharges(r, true)
	}
	delete(s.requests, r.arrive.Request)
}

// refuseExpired refuses the waiting requests whose expiry time has passed.
func (s *Scheduler) refuseExpired() {
	for s.expiryHeap.len() > 0 {
		r := s.expiryHeap.min()
		if r.expiresAt.After(s.now) {
			return
		}
		wait := r.queue.flow.pool.estimatedWait(r.queue)
		s.dropWaiting(r)
		s.refuse(r, messenger.RefuseDeadline, wait)
	}
}
