package router

import (
	"context"
	"time"

	"lentilwood.example/lentilwood/internal/assigner"
	"lentilwood.example/lentilwood/internal/messenger"
)

// The functions in this file ask the other routers at which version a stream began. What a router says of its own
// streams stays true, however late it arrives, unlike what it knows of plans.

const (
	// askTimeout bounds the wait for the other routers' answers. Silent ones don't answer.
	askTimeout = 200 * time.Millisecond
	// maxAskedRouters is the largest number of other routers that are asked, maxOpenQuestions that of questions at
	// a time: together they bound the messages that callers cause.
	maxAskedRouters  = 32
	maxOpenQuestions = 32
)

// streamQuestion asks whether the receiver has begun or resumed a stream. An answer repeats it.
type streamQuestion struct {
	_ struct{} `codec:",toarray"`
	// ID identifies the question at the router that asks.
	ID     uint64
	Pool   messenger.PoolID
	Stream assigner.StreamID
	// Version is valid in an answer if Known is true.
	Version string
	Known   bool
}

// askOthers returns the version of a stream if another router says that it began or resumed it.
func (k *streamKeeper) askOthers(ctx context.Context, q streamQuery) (version string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	question := streamQuestion{Pool: q.pool, Stream: q.id()}
	answers, ok := k.openQuestion(&question)
	if !ok {
		return "", false
	}
	defer k.closeQuestion(question.ID)
	asked, expected := k.ask(question), maxAskedRouters
	for received := 0; received < expected; {
		select {
		case expected = <-asked:
			asked = nil
		case answer := <-answers:
			received++
			if answer.Known {
				return answer.Version, true
			}
		case <-ctx.Done():
			return "", false
		}
	}
	return "", false
}

// openQuestion numbers a question and returns a channel for its answers. It returns false if too many are open.
func (k *streamKeeper) openQuestion(q *streamQuestion) (answers <-chan streamQuestion, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ask == nil || len(k.questions) >= maxOpenQuestions {
		return nil, false
	}
	if k.questions == nil {
		k.questions = make(map[uint64]chan streamQuestion)
	}
	k.lastQuestion++
	q.ID = k.lastQuestion
	ch := make(chan streamQuestion, maxAskedRouters)
	k.questions[q.ID] = ch
	return ch, true
}

func (k *streamKeeper) closeQuestion(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.questions, id)
}

// receiveAnswer hands an answer to the caller that waits for it, if it still does.
func (k *streamKeeper) receiveAnswer(q streamQuestion) {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case k.questions[q.ID] <- q:
	default: // nobody waits, or an answer came twice
	}
}

// sendQuestion sends a question to the live routers. The channel that it returns receives how many are asked.
func (h *Hosted) sendQuestion(q streamQuestion) <-chan int {
	asked := make(chan int, 1)
	h.control.callAsync(func() { asked <- h.sendToLiveRouters(q) })
	return asked
}

func (h *Hosted) sendToLiveRouters(q streamQuestion) int {
	if len(h.peers) > maxAskedRouters {
		return 0
	}
	asked := 0
	for _, p := range h.peers {
		if p.live && h.exchanger.Send(p.member.Address, hostedEnvelope{From: h.selfMember(), Kind: kindStreamQuestion, Stream: &q}) == nil {
			asked++
		}
	}
	return asked
}

// receiveStreamMessage answers a question about a stream, or takes over an answer.
func (h *Hosted) receiveStreamMessage(p *hostedPeer, e hostedEnvelope) {
	if e.Stream == nil {
		return
	}
	q := *e.Stream
	if e.Kind == kindStreamAnswer {
		h.streams.receiveAnswer(q)
		return
	}
	q.Version, q.Known = h.streams.Version(q.Pool, q.Stream)
	_ = h.exchanger.Send(p.member.Address, hostedEnvelope{From: h.selfMember(), Kind: kindStreamAnswer, Stream: &q}) // best effort: the asker waits for a moment only
}
