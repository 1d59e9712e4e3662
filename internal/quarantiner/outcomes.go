package quarantiner

import "time"

// openPart is what this router has seen of an open part since it learned of its first crash.
type openPart struct {
	since time.Time
	// crashes is the number of crashes that it is an open suspect in.
	crashes int
	// lost counts the requests with the part that were lost. before are the outcomes of all
	// requests that were counted when the part was opened.
	lost   float64
	before outcomes
}

// others returns the outcomes since the part was opened of the requests without it. All requests
// that had output are among these, since the first one with the part clears it.
func (x *openPart) others(total outcomes) outcomes {
	return outcomes{outputs: total.outputs - x.before.outputs, lost: max(0, total.lost-x.before.lost-x.lost)}
}

// outcomes counts the requests that had output, and those that were lost in a crash before.
type outcomes struct{ outputs, lost float64 }

// unknown is the number of lost requests that is assumed beside those counted.
const unknown = 0.5

// recentCount is the number of values after which earlier ones count half.
const recentCount = 200

func (o *outcomes) add(outputs, lost float64) {
	o.outputs += outputs
	o.lost += lost
}

// addRecent adds outcomes, of which the latest count most.
func (o *outcomes) addRecent(outputs, lost float64) {
	o.add(outputs, lost)
	if o.outputs+o.lost >= recentCount {
		o.outputs, o.lost = o.outputs/2, o.lost/2
	}
}

// lostShare returns the share that was lost. It is high as long as little is known.
func (o outcomes) lostShare() float64 { return (o.lost + unknown) / (o.lost + o.outputs + unknown) }

// average is the mean of recent values from 0 to 1. It is 1 at first.
type average struct{ sum, count float64 }

func (a *average) add(v float64) {
	a.sum += min(max(v, 0), 1)
	a.count++
	if a.count >= recentCount {
		a.sum, a.count = a.sum/2, a.count/2
	}
}

func (a *average) mean() float64 { return (1 + a.sum) / (1 + a.count) }
