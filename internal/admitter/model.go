package admitter

import (
	"math"
	"time"
)

const (
	// initialBaseSeconds and initialSecondsPerToken describe an engine before the first
	// observation: the shortest time to a first output, and the time to read one token.
	initialBaseSeconds     = 0.030
	initialSecondsPerToken = 10e-6
	// initialHeldSeconds is the slot holding time assumed before the first observation.
	initialHeldSeconds = 1.0
	// minSecondsPerToken and maxSecondsPerToken bound the estimated slope.
	minSecondsPerToken = 1e-6
	maxSecondsPerToken = 200e-6
	minBaseSeconds     = 0.001
	// modelDecay is the weight of the earlier observations when one is added to the
	// regression, and heldSampleWeight the weight of one observed slot holding time.
	modelDecay       = 0.995
	heldSampleWeight = 0.02
	// minTokenSpread is the standard deviation of prompt lengths, in tokens, that the
	// observations must have before their slope is used.
	minTokenSpread = 500
	// minSamples is the number of observations needed before the regression is used.
	minSamples = 20
	// forecastErrorWeight is the weight of one observation in an upstream's forecast error,
	// which is kept between minForecastError and maxForecastError.
	forecastErrorWeight = 0.1
	minForecastError    = 0.6
	maxForecastError    = 6
)

// model is the estimated behaviour of the engines of a pool: the time to the first output
// as a linear function of the tokens to read, and the slot holding time.
type model struct {
	// baseSeconds is the shortest time to a first output, secondsPerToken the time to read
	// one token, and heldSeconds the slot holding time.
	baseSeconds, secondsPerToken, heldSeconds float64
	// endedRequests counts the requests whose slots have been released.
	endedRequests int
	// n, x, y, xx and xy are the exponentially decayed sums of a least-squares regression.
	n, x, y, xx, xy float64
}

// readSpeed is the speed of engines: the shortest time to a first output, and the time to
// read one token.
type readSpeed struct{ baseSeconds, secondsPerToken float64 }

func newModel() model {
	return model{baseSeconds: initialBaseSeconds, secondsPerToken: initialSecondsPerToken, heldSeconds: initialHeldSeconds}
}

// trained reports whether there are enough observations to use the regression.
func (m *model) trained() bool { return m.n >= minSamples }

// addFirstOutput adds an observation to the regression: the tokens that were read and the
// time to the first output, for a request that was sent with no work ahead of it.
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
		m.baseSeconds = max(minBaseSeconds, meanY-m.secondsPerToken*meanX)
		return
	}
	m.secondsPerToken = clamp((m.xy/m.n-meanX*meanY)/variance, minSecondsPerToken, maxSecondsPerToken)
	m.baseSeconds = max(minBaseSeconds, meanY-m.secondsPerToken*meanX)
}

// addHeldTime adds an observed slot holding time. Early observations have equal weights, so
// that a wrong initial value is corrected quickly.
func (m *model) addHeldTime(seconds float64) {
	m.endedRequests++
	m.heldSeconds += max(heldSampleWeight, 1/float64(m.endedRequests)) * (seconds - m.heldSeconds)
}

func clamp(v, low, high float64) float64 { return min(max(v, low), high) }

// decayFactor returns the factor by which a value decays in the elapsed time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
