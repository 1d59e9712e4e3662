package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	repeatsRate   = 160 // requests a second
	warmUpTime    = 10 * time.Second
	greyTime      = 4 * time.Second
	greyPause     = 100 * time.Millisecond
	greyShare     = 0.45
	afterGreyTime = 3 * time.Second
)

// playRepeats lets all model workers reset the connection of a part of their requests, and
// counts what reaches them again against the retry budget.
func playRepeats(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	var greyUntil time.Time
	draws := 0
	isGrey := func() bool {
		mu.Lock()
		defer mu.Unlock()
		if !time.Now().Before(greyUntil) {
			return false
		}
		draws++
		return int(float64(draws)*greyShare) != int(float64(draws-1)*greyShare)
	}
	model := func(w *worker, c *workerConn, r *http.Request, _ []byte) bool {
		if isGrey() {
			f.record.note("request %s: worker %s resets the connection and doesn't run it", attemptID(r), w.id)
			c.reset()
			return false
		}
		return chunkedStream(w, c, r, 4)
	}
	if err := f.startDeployment(routerCount, model, nil); err != nil {
		return false, err
	}
	sent := f.sendSteadily(warmUpTime+2*greyTime+greyPause+afterGreyTime, func(elapsed time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		first := elapsed >= warmUpTime && elapsed < warmUpTime+greyTime
		second := elapsed >= warmUpTime+greyTime+greyPause && elapsed < warmUpTime+2*greyTime+greyPause
		if trouble && (first || second) {
			greyUntil = time.Now().Add(50 * time.Millisecond)
		}
	})
	return f.exceedsRetryBudget(sent), nil
}

// sendSteadily sends requests in the sheet's proportions to all routers for some time, and
// returns when each was sent. onTick is called every few milliseconds.
func (f *fleet) sendSteadily(length time.Duration, onTick func(elapsed time.Duration)) []time.Time {
	var wg sync.WaitGroup
	var sent []time.Time
	start := time.Now()
	answers := make(map[string]int)
	var mu sync.Mutex
	for n := 0; ; n++ {
		elapsed := time.Since(start)
		if elapsed >= length {
			break
		}
		onTick(elapsed)
		sent = append(sent, time.Now())
		rt := f.routers[n%len(f.routers)]
		r := sheetRequest(n)
		wg.Go(func() {
			a := f.send(rt, r)
			mu.Lock()
			defer mu.Unlock()
			answers[fmt.Sprintf("%s %d complete=%v", r.path, a.status, a.complete)]++
		})
		time.Sleep(time.Until(start.Add(time.Duration(n+1) * time.Second / repeatsRate)))
	}
	wg.Wait()
	f.record.say("answers: %v", answers)
	return sent
}

// exceedsRetryBudget reports whether in some window more requests reached the workers again
// than the budget allows, counting the requests of that window, of the one before or of the one
// half a window before, whichever has most.
func (f *fleet) exceedsRetryBudget(sent []time.Time) bool {
	seen := make(map[string]bool)
	var repeats []time.Time
	for _, a := range f.record.all() {
		if seen[a.id] {
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
	}
	within := func(times []time.Time, from time.Time) int {
		n := 0
		for _, t := range times {
			if !t.Before(from) && t.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	worst, worstRequests, worstAt := 0, 0, f.record.start
	excess := -float64(retryExtra)
	for from := f.record.start; from.Before(time.Now()); from = from.Add(100 * time.Millisecond) {
		again := within(repeats, from)
		requests := max(within(sent, from), within(sent, from.Add(-retryWindow)), within(sent, from.Add(-retryWindow/2)))
		if e := float64(again) - retryRatio*float64(requests) - retryExtra; e > excess {
			excess, worst, worstRequests, worstAt = e, again, requests, from
		}
	}
	f.record.say("requests sent: %d; repeats that reached a worker: %d", len(sent), len(repeats))
	f.record.say("worst window, from second %.1f: %d repeats for %d requests; the budget is %.0f",
		worstAt.Sub(f.record.start).Seconds(), worst, worstRequests, retryRatio*float64(worstRequests)+retryExtra)
	return excess > 0
}
