package admitter

import (
	"math"
	"time"
)

const (
	// firstBase and firstPerRead are what is assumed of an engine before
	// anything was observed: the shortest time to a first output in seconds,
	// and the seconds for each token read.
	firstBase    = 0.030
	firstPerRead = 10e-6
	// firstHeld is how long a slot is assumed to be held, in seconds.
	firstHeld = 1.0
	// lowestPerRead and highestPerRead bound what is learnt.
	lowestPerRead  = 1e-6
	highestPerRead = 200e-6
	lowestBase     = 0.001
	// memoryOfModel is the weight of the past in what is learnt from each
	// observation, and heldWeight that of an observation of held slots.
	memoryOfModel = 0.995
	heldWeight    = 0.02
	// leastSpread is how much the observed prompts must differ, in tokens,
	// before their slope is believed.
	leastSpread = 500
	// enoughSamples is how many observations it takes to believe a slope.
	enoughSamples = 20
	// errorWeight is the weight of one observation in an upstream's error, which
	// is kept between lowestError and highestError.
	errorWeight  = 0.1
	lowestError  = 0.6
	highestError = 6
)

// model is what was learnt of the engines of a pool: the time to a first
// output as a line over the tokens to read, and how long slots are held.
type model struct {
	base, perRead, held float64
	// ended counts the requests whose slot is free again.
	ended int
	// sums of a least-squares line whose past fades.
	n, x, y, xx, xy float64
}

// speed is how fast engines are: the shortest time to a first output in seconds,
// and the seconds for each token read.
type speed struct{ base, perRead float64 }

func newModel() model { return model{base: firstBase, perRead: firstPerRead, held: firstHeld} }

// learnt reports whether enough was observed to believe it.
func (m *model) learnt() bool { return m.n >= enoughSamples }

// learnFirst takes in the seconds to a first output with nothing ahead.
func (m *model) learnFirst(reads, seconds float64) {
	m.n = m.n*memoryOfModel + 1
	m.x = m.x*memoryOfModel + reads
	m.y = m.y*memoryOfModel + seconds
	m.xx = m.xx*memoryOfModel + reads*reads
	m.xy = m.xy*memoryOfModel + reads*seconds
	if !m.learnt() {
		return
	}
	meanX, meanY := m.x/m.n, m.y/m.n
	variance := m.xx/m.n - meanX*meanX
	if variance < leastSpread*leastSpread {
		m.base = max(lowestBase, meanY-m.perRead*meanX)
		return
	}
	m.perRead = bound((m.xy/m.n-meanX*meanY)/variance, lowestPerRead, highestPerRead)
	m.base = max(lowestBase, meanY-m.perRead*meanX)
}

// learnHeld takes in for how many seconds a slot was held. The first ones count
// alike, so that a wrong assumption is soon outweighed.
func (m *model) learnHeld(seconds float64) {
	m.ended++
	m.held += max(heldWeight, 1/float64(m.ended)) * (seconds - m.held)
}

func bound(v, low, high float64) float64 { return min(max(v, low), high) }

// halved returns what is left of 1 after some time.
func halved(passed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(passed) / float64(halfLife))
}
