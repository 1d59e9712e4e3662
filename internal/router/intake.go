package router

const (
	// intakeCut and intakeGrowth are the factors by which the limit of open connections
	// shrinks and grows each time that it is looked at, intakePlunge and intakeLeap those if
	// far too much and if hardly anything waits.
	intakePlunge = 0.75
	intakeCut    = 0.93
	intakeGrowth = 1.03
	intakeLeap   = 1.06
	// leastKept is the part of the open connections that the limit does not fall below: it
	// is not to run away from what can be closed.
	leastKept = 0.6
	// leastLimit is the lowest limit, and leastTakenIn the share of new connections that
	// is taken in at any rate: by their load the router notices that it may take more.
	leastLimit   = 8
	leastTakenIn = 0.05
	// slackLimit is how many times as many connections as are open a limit allows that
	// holds nobody back.
	slackLimit = 2
	// closingWeight is the weight of one look in the number of connections that close.
	closingWeight = 0.3
)

// intake decides how many connections a VM that is short of processor time may have open.
// It answers the load of a small VM that a flood reaches: requests come on the connections
// that are open, so their number is what has to be held. A share of new ones only says how
// fast that number changes, and swings between too many and too few. The zero value
// takes in all.
type intake struct {
	// limit is how many connections may be open; zero means any number.
	limit float64
	// last is what was counted at the last look, and closing how many connections are
	// closed from one look to the next.
	last    connections
	closing float64
	// turnedAway is the share of new connections to turn away, 0 to 1.
	turnedAway float64
	// over is true if more are open than may be.
	over bool
}

// connections counts the connections of callers.
type connections struct {
	// open are open now; opened were opened since the start, and of these taken were
	// taken in.
	open          int
	opened, taken uint64
}

// pressure is how short a VM is of processor time.
type pressure int

const (
	// easy means that hardly anything waits, calm that there is time left, steady that
	// it is used up, pressed that too much waits, and swamped that far too much does.
	easy pressure = iota
	calm
	steady
	pressed
	swamped
)

// adjust moves the limit by how short the VM is of processor time, and works out which
// share of new connections keeps it.
func (i *intake) adjust(p pressure, c connections) {
	came := float64(c.opened - i.last.opened)
	closed := float64(i.last.open) + float64(c.taken-i.last.taken) - float64(c.open)
	i.closing += closingWeight * (max(0, closed) - i.closing)
	i.last = c
	open := float64(c.open)
	i.moveLimit(p, open)
	i.over = i.limited() && open > i.limit
	i.turnedAway = 0
	if i.limited() {
		room := (i.limit - open + i.closing) / max(1, came)
		i.turnedAway = 1 - min(1, max(leastTakenIn, room))
	}
}

// limited reports whether there is a limit, whether or not it is met.
func (i *intake) limited() bool { return i.limit > 0 }

func (i *intake) moveLimit(p pressure, open float64) {
	switch {
	case p >= pressed && !i.limited():
		i.limit = max(leastLimit, open)
	case p >= pressed:
		i.limit = max(leastLimit, leastKept*open, cutOf(p)*min(i.limit, open))
	case !i.limited() || p == steady:
	case i.limit > slackLimit*open:
		i.limit = 0
	case p == easy:
		i.limit *= intakeLeap
	default:
		i.limit *= intakeGrowth
	}
}

// cutOf returns the factor by which the limit shrinks.
func cutOf(p pressure) float64 {
	if p == swamped {
		return intakePlunge
	}
	return intakeCut
}
