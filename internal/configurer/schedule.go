package configurer

import (
	"slices"
	"strconv"
	"strings"
	"time"
	_ "time/tzdata" // VMs may lack the time zone files
)

// timeOfDayLayout is the layout of a time of day.
const timeOfDayLayout = "15:04"

// weekdays are the names of the days, indexed by time.Weekday.
var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// covers reports whether a time is within the period. A period that does not parse
// covers no time; Check rejects such a period beforehand.
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

// startsOn reports whether the period starts on a weekday.
func (p Period) startsOn(day time.Weekday) bool {
	return len(p.Days) == 0 || slices.Contains(p.Days, weekdays[day])
}

// policyKey identifies the exceptions with an end that are still active and the periods
// that apply at a time. A document gives the same policy at two times with equal keys.
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

// activePeriod returns the index of the period that applies, or -1.
func (s ClassSettings) activePeriod(now time.Time, zone string) int {
	return slices.IndexFunc(s.Schedule, func(p Period) bool { return p.covers(now, zone) })
}

func minuteOfDay(s string) (int, error) {
	t, err := time.Parse(timeOfDayLayout, s)
	return t.Hour()*60 + t.Minute(), err
}
