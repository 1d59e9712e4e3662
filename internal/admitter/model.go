package admitter

import (
	"math"
	"time"
)

const (
	// firstBase and firstPerRead are what is assumed of an engine before
	// anything was observed: the shortest time to a first output in seconds,
	// and the seconds for each token read.
	initialBase     = 0.030
	initialPerToken = 10e-6
	// firstHeld is how long a slot is assumed to be held, in seconds.
	initialHeld = 1.0
	// lowestPerRead and highestPerRead bound what is learnt.
	minSecondsPerToken = 1e-6
	maxSecondsPerToken = 200e-6
	minBaseSeconds     = 0.001
	// memoryOfModel is the weight of the past in what is learnt from each
	// observation, and heldWeight that of an observation of held slots.
	modelDecay       = 0.995
	heldSampleWeight = 0.02
	// leastSpread is how much the observed prompts must differ, in tokens,
	// before their slope is believed.
	minTokenSpread = 500
	// enoughSamples is how many observations it takes to believe a slope.
	minSamples = 20
	// errorWeight is the weight of one observation in an upstream's error, which
	// is kept between lowestError and highestError.
	forecastErrorWeight = 0.1
	minForecastError    = 0.6
	maxForecastError    = 6
)

// model is what was learnt of the engines of a pool: the time to a first
// output as a line over the tokens to read, and how long slots are held.
type model struct {
	base, perToken, held float64
	// ended counts the requests whose slot is free again.
	endedRequests int
	// sums of a least-squares line whose past fades.
	n, x, y, xx, xy float64
}

// speed is how fast engines are: the shortest time to a first output in seconds,
// and the seconds for each token read.
type readSpeed struct{ baseSeconds, secondsPerToken float64 }

func newModel() model { return model{base: initialBase, perToken: initialPerToken, held: initialHeld} }

// learnt reports whether enough was observed to believe it.
func (m *model) trained() bool { return m.n >= minSamples }

// learnFirst takes in the seconds to a first output with nothing ahead.
func (m *model) addFirstOutput(tokens, seconds float64) {
	m.n = m.n*modelDecay + 1
	m.x = m.x*modelDecay + tokens
	m.y = m.y*modelDecay + seconds
	m.xx = m.xx*modelDecay + tokens*tokens
	m.xy = m.xy*modelDecay + tokens*seconds
	if !m.trained() {
		return
	}
	meanX, meanY := m.x/m.n, m.y/m.n
	variance := m.xx/m.n - meanX*meanX
	if variance < minTokenSpread*minTokenSpread {
		m.base = max(minBaseSeconds, meanY-m.perToken*meanX)
		return
	}
	m.perToken = clamp((m.xy/m.n-meanX*meanY)/variance, minSecondsPerToken, maxSecondsPerToken)
	m.base = max(minBaseSeconds, meanY-m.perToken*meanX)
}

// learnHeld takes in for how many seconds a slot was held. The first ones count
// alike, so that a wrong assumption is soon outweighed.
func (m *model) addHeldTime(seconds float64) {
	m.endedRequests++
	m.held += max(heldSampleWeight, 1/float64(m.endedRequests)) * (seconds - m.held)
}

func clamp(v, low, high float64) float64 { return min(max(v, low), high) }

// halved returns what is left of 1 after some time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
