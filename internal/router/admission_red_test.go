//go:build red

package router

import (
	"slices"
	"testing"
	"time"
)

// run plays a time with so many requests a second.
func (v *smallVM) run(d time.Duration, rate float64) {
	for end := v.now + d; v.now < end; {
		v.poisson(rate, func() { v.request(v.rng.IntN(simClients), false) })
		v.step(false)
	}
}

// TestFloodedRouterAnswersWhatItTakesIn has an account flood a small VM for seconds, after a
// calm time in which its callers opened many connections: most of what the VM can do is done
// in each second, and what is taken in gets its turns within an objective.
func TestFloodedRouterAnswersWhatItTakesIn(t *testing.T) {
	const (
		calmRate, crestRate = 250, 1000
		// A request waits a dozen times on its way, and an objective is 300 ms.
		longestTurn = 300 * time.Millisecond / 12
	)
	v := newSmallVM()
	v.run(5*time.Second, calmRate)
	for second := range 12 {
		finished, turnedAway := v.finished, v.turnedAway
		v.allWaits = v.allWaits[:0]
		v.run(time.Second, crestRate)
		if second < 2 {
			continue // the crest has just begun
		}
		left := simVMShare*float64(time.Second) - float64(v.turnedAway-turnedAway)*float64(simTurnedAway)
		fits := left / float64(simCarried)
		slices.Sort(v.allWaits)
		if got := float64(v.finished - finished); got < fits*2/3 {
			t.Errorf("second %d of the flood: %.0f requests answered, want two thirds of the %.0f that fit", second, got, fits)
		}
		if got := v.allWaits[len(v.allWaits)*9/10]; got > longestTurn {
			t.Errorf("second %d of the flood: one turn in ten waits over %v, want at most %v", second, got, longestTurn)
		}
	}
}
