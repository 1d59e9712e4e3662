package configurer

import (
	"slices"
	"strconv"
	"strings"
	"time"
	_ "time/tzdata" // VMs may come without the time zone files
)

// timeOfDayLayout is how a time of day is written.
const timeOfDayLayout = "15:04"

// weekdays are the names of the days as time.Weekday numbers them.
var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// covers reports whether a time falls into the period. A period that does not
// parse covers nothing; Check refuses it before it gets here.
func (p Period) covers(now time.Time, zone string) bool {
	if p.TimeZone != "" {
		zone = p.TimeZone
	}
	loc, err := time.LoadLocation(zone)
	if err != nil {
		return false
	}
	from, err := minuteOfDay(p.From)
	if err != nil {
		return false
	}
	to, err := minuteOfDay(p.To)
	if err != nil {
		return false
	}
	now = now.In(loc)
	minute := now.Hour()*60 + now.Minute()
	today, yesterday := p.startsOn(now.Weekday()), p.startsOn((now.Weekday()+6)%7)
	if from < to {
		return today && minute >= from && minute < to
	}
	return today && minute >= from || yesterday && minute < to
}

// startsOn reports whether the period starts startsOn a weekday.
func (p Period) startsOn(day time.Weekday) bool {
	return len(p.Days) == 0 || slices.Contains(p.Days, weekdays[day])
}

// policyKey says which exceptions have not ended and which periods apply at a
// time. Two times of the same policyKey have the same policy.
func (d *Document) policyKey(now time.Time) string {
	var b strings.Builder
	for _, id := range sortedKeys(d.Exceptions) {
		e := d.Exceptions[id]
		if e.Until != nil && now.Before(*e.Until) {
			b.WriteString(id + ";")
		}
		if e.Class != nil {
			e.Class.writePeriodKey(&b, now, d.TimeZone)
		}
	}
	for _, id := range sortedKeys(d.Classes) {
		d.Classes[id].writePeriodKey(&b, now, d.TimeZone)
	}
	return b.String()
}

func (s ClassSettings) writePeriodKey(b *strings.Builder, now time.Time, zone string) {
	b.WriteString(strconv.Itoa(s.activePeriod(now, zone)) + ";")
}

// activePeriod returns the index of the activePeriod that applies, or -1.
func (s ClassSettings) activePeriod(now time.Time, zone string) int {
	return slices.IndexFunc(s.Schedule, func(p Period) bool { return p.covers(now, zone) })
}

func minuteOfDay(s string) (int, error) {
	t, err := time.Parse(timeOfDayLayout, s)
	return t.Hour()*60 + t.Minute(), err
}
