package evacuator

import (
	"math"
	"slices"
	"time"
)

// deviations is how many standard deviations Latest lies after Finish.
const deviations = 2

// Forecast says when a site will be empty.
type Forecast struct {
	// Remaining is how many upstreams are not empty yet.
	Remaining int
	// Finish is the expected time, Latest one that is rarely passed. Both are
	// zero while too little was seen to say.
	Finish, Latest time.Time
	// AtRisk is true if Latest is after the date.
	AtRisk bool
}

// forecast works out when a plan ends, from the pace at which replacements
// were loaded so far and the time from loaded to empty.
func forecast(p *Plan, now time.Time) Forecast {
	f := Forecast{Remaining: remaining(p)}
	if f.Remaining == 0 {
		return f
	}
	loads := intervals(p)
	if len(loads) == 0 {
		f.AtRisk = now.Sub(p.Created) > p.By.Sub(p.Created)/4
		return f
	}
	unloaded := 0
	var tails []float64
	for _, s := range p.Steps {
		if s.Loaded.IsZero() && s.Phase != Done {
			unloaded++
		}
		if !s.Finished.IsZero() && !s.Loaded.IsZero() {
			tails = append(tails, s.Finished.Sub(s.Loaded).Seconds())
		}
	}
	pace, spread := meanAndDeviation(loads)
	tail, tailSpread := meanAndDeviation(tails)
	if len(tails) == 0 {
		tail = (3*warmInterval + patience).Seconds()
	}
	begin := now
	if unloaded > 0 {
		// What has passed since the last load counts towards the next.
		begin = lastLoad(p)
	}
	n := float64(unloaded)
	f.Finish = later(now, begin.Add(seconds(n*pace+tail)))
	// The pace itself is uncertain, by spread/sqrt(loads) for each of n loads.
	sum := spread * math.Sqrt(n+n*n/float64(len(loads)))
	f.Latest = f.Finish.Add(seconds(deviations * math.Hypot(sum, tailSpread)))
	f.AtRisk = f.Latest.After(p.By)
	return f
}

func remaining(p *Plan) int {
	n := 0
	for _, s := range p.Steps {
		if s.Phase != Done {
			n++
		}
	}
	return n
}

// intervals returns the times between loads, in seconds.
func intervals(p *Plan) []float64 {
	times := loadTimes(p)
	var out []float64
	last := p.Created
	for _, t := range times {
		out = append(out, t.Sub(last).Seconds())
		last = t
	}
	return out
}

func loadTimes(p *Plan) []time.Time {
	var times []time.Time
	for _, s := range p.Steps {
		if !s.Loaded.IsZero() {
			times = append(times, s.Loaded)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

func lastLoad(p *Plan) time.Time {
	times := loadTimes(p)
	return times[len(times)-1]
}

func meanAndDeviation(values []float64) (mean, deviation float64) {
	if len(values) == 0 {
		return 0, 0
	}
	for _, v := range values {
		mean += v
	}
	mean /= float64(len(values))
	for _, v := range values {
		deviation += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(deviation / float64(max(1, len(values)-1)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
