package keeper

import (
	"math/rand/v2"
	"time"
)

// Faults are the switches of the stand-in. The zero value is a platform
// without faults.
type Faults struct {
	// Seed makes the random faults the same on every run.
	Seed uint64
	// Down fails every call.
	Down bool
	// Delay is how long a call takes.
	Delay time.Duration
	// FailShare is the share of calls, 0 to 1, that fail without an effect.
	FailShare float64
	// LoseAnswers is the share of writes, 0 to 1, that take effect while the
	// answer is lost.
	LoseAnswers float64
	// ListLag is how old the list of VMs is.
	ListLag time.Duration
	// ReadsPerSecond and WritesPerSecond bound the rate of calls; zero means
	// no bound.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// RandomFaults draws a mix of faults from a seed.
func RandomFaults(seed uint64) Faults {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := Faults{Seed: seed}
	f.Down = rng.IntN(4) == 0
	f.FailShare = float64(rng.IntN(3)) * 0.2
	f.LoseAnswers = float64(rng.IntN(3)) * 0.2
	f.ListLag = time.Duration(rng.IntN(30)) * time.Second
	return f
}

// SetFaults replaces the faults in force.
func (k *Keeper) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	k.rng = rand.New(rand.NewPCG(f.Seed, 0))
}

// bucket is a token bucket of one second's depth.
type bucket struct {
	tokens float64
	filled time.Time
}

func (b *bucket) take(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if b.filled.IsZero() {
		b.tokens = rate
	} else {
		b.tokens = min(rate, b.tokens+now.Sub(b.filled).Seconds()*rate)
	}
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
