package generator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// arrival is one request and when it is due, counted from the start.
type arrival struct {
	at     time.Duration
	stream *Stream
	// id is the request id, unique in the run.
	id string
	// token is the bearer token.
	token string
	// router is the index of the router that gets the request.
	router int
	// key is the idempotency key, or empty.
	key          string
	tokens       int
	promptTokens int
	prefix       string
	hint         int
	item         string
}

// source draws the arrivals of one stream. All randomness comes from the seed,
// so the same mix and seed give the same requests at the same times.
type source struct {
	stream *Stream
	index  int
	rnd    *rand.Rand
	next   time.Duration
	count  int
}

// schedule merges the arrivals of all streams.
type schedule struct {
	run     string
	sources []*source
	routers int
	end     time.Duration
	// repeat is the second copy of the last arrival, if there is one.
	repeat *arrival
}

func newSchedule(mix *Mix, seed uint64, run string, routers int, end time.Duration) *schedule {
	s := &schedule{run: run, routers: routers, end: end}
	for i := range mix.Streams {
		src := &source{stream: &mix.Streams[i], index: i, rnd: rand.New(rand.NewPCG(seed, uint64(i)))}
		src.next = src.stream.From
		src.advance()
		s.sources = append(s.sources, src)
	}
	return s
}

// advance draws the time of the next arrival.
func (s *source) advance() {
	gap := s.rnd.ExpFloat64() / s.stream.Rate
	s.next += time.Duration(gap * float64(time.Second))
	if s.stream.Until > 0 && s.next >= s.stream.Until {
		s.next = math.MaxInt64
	}
}

// take returns the next arrival, or false after the end.
func (s *schedule) take() (arrival, bool) {
	if s.repeat != nil {
		a := *s.repeat
		s.repeat = nil
		return a, true
	}
	var first *source
	for _, src := range s.sources {
		if first == nil || src.next < first.next {
			first = src
		}
	}
	if first == nil || first.next >= s.end {
		return arrival{}, false
	}
	a := first.draw(s)
	if a.key != "" && first.rnd.Float64() < first.stream.Repeat {
		second := a
		second.id += "-again"
		second.router = (a.router + 1) % s.routers
		s.repeat = &second
	}
	first.advance()
	return a, true
}

func (s *source) draw(sched *schedule) arrival {
	s.count++
	a := arrival{
		at:           s.next,
		stream:       s.stream,
		token:        s.stream.Token.Reveal(),
		id:           fmt.Sprintf("%s-%d-%d", sched.run, s.index, s.count),
		router:       s.rnd.IntN(sched.routers),
		tokens:       s.within(s.stream.Tokens),
		promptTokens: s.within(s.stream.PromptTokens),
		item:         fmt.Sprintf("item-%d", s.rnd.IntN(items)),
	}
	if n := s.stream.Accounts; n > 0 {
		a.token = fmt.Sprintf("%s-%d", a.token, s.rnd.IntN(n)+1)
	}
	if s.stream.Keyed {
		a.key = "key-" + a.id
	}
	if s.stream.Prefixes > 0 {
		a.prefix = fmt.Sprintf("%s-%d", s.stream.Account, s.rnd.IntN(s.stream.Prefixes))
	}
	if e := s.stream.HintError; e > 0 {
		// Off by up to the factor in either direction, evenly on a log scale.
		a.hint = max(1, int(float64(a.tokens)*math.Pow(e, 2*s.rnd.Float64()-1)))
	}
	return a
}

// asked returns the tokens that the request asks for.
func (a arrival) asked() int {
	if a.stream.Kind != Completion {
		return 0
	}
	return a.tokens
}

// items is how many different items stock lookups ask for.
const items = 1000

func (s *source) within(r Range) int { return r.Min + s.rnd.IntN(r.Max-r.Min+1) }

// bytesPerToken is the length of one token of a prompt.
const bytesPerToken = 4

// prompt returns a prompt of n tokens.
func prompt(n int) string { return strings.Repeat("word", n*bytesPerToken/len("word")) }
