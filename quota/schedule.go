package quota

import (
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // zones by name on machines without a list of them

	"github.com/teambition/rrule-go"
)

// window is a recurring window of time in which a limit replaces the group's own.
//
// It begins and ends at times on a wall clock. A time that is skipped as clocks are put
// forward is taken as if they had not been: 02:30 in a skipped hour is half an hour after
// the skip. Of a time that comes twice, the first instant is taken for a beginning and the
// second for an end, so that a window is never shorter than its operator wrote.
type window struct {
	rule     *rrule.RRule // the days on which it begins, as dates in UTC
	zone     *time.Location
	from, to clockTime
	limit    Limit
}

// clockTime is a time of the day.
type clockTime struct{ hour, minute int }

// minutes returns the time in minutes since midnight.
func (c clockTime) minutes() int { return c.hour*60 + c.minute }

// shownAt reports whether a clock shows this time at t, in the zone of t.
func (c clockTime) shownAt(t time.Time) bool { return t.Hour() == c.hour && t.Minute() == c.minute }

// newWindow checks the options of a schedule, whose keys begin with key.
func newWindow(key string, o ScheduleOptions) (*window, error) {
	if err := CheckLimit(key+"limit", o.Limit); err != nil {
		return nil, err
	}
	zone, err := parseZone(key+"zone", o.Zone)
	if err != nil {
		return nil, err
	}
	from, err := parseClock(key+"from", o.From)
	if err != nil {
		return nil, err
	}
	to, err := parseClock(key+"to", o.To)
	if err != nil {
		return nil, err
	}
	rule, err := parseRule(key+"rule", o.Rule)
	if err != nil {
		return nil, err
	}
	return &window{rule: rule, zone: zone, from: from, to: to, limit: o.Limit}, nil
}

// parseZone returns a zone by its name. The zone of the machine has none.
func parseZone(key, name string) (*time.Location, error) {
	zone, err := time.LoadLocation(name)
	if err != nil || name == "" || name == "Local" {
		return nil, &OptionError{key, fmt.Sprintf("%q", name), "the name of a time zone, such as Africa/Kigali"}
	}
	return zone, nil
}

func parseClock(key, text string) (clockTime, error) {
	t, err := time.Parse("15:04", text)
	if err != nil {
		return clockTime{}, &OptionError{key, fmt.Sprintf("%q", text), "a time of the day, HH:MM"}
	}
	return clockTime{t.Hour(), t.Minute()}, nil
}

// scheduleStart is the first day of a rule that names none.
var scheduleStart = time.Date(2020, time.January, 1, 0, 0, 0, 0, time.UTC)

// parseRule returns a recurrence rule (RFC 5545) of days, which are dates in UTC.
func parseRule(key, text string) (*rrule.RRule, error) {
	quoted := fmt.Sprintf("%q", text)
	option, err := rrule.StrToROption(text)
	if err != nil || strings.TrimSpace(text) == "" {
		return nil, &OptionError{key, quoted, "a recurrence rule (RFC 5545), such as FREQ=MONTHLY;BYMONTHDAY=1"}
	}
	if option.Freq > rrule.DAILY {
		return nil, &OptionError{key, quoted, "days: FREQ=DAILY, WEEKLY, MONTHLY or YEARLY"}
	}
	if option.Dtstart.IsZero() {
		option.Dtstart = scheduleStart
	}
	option.Dtstart = dateOf(option.Dtstart)
	rule, err := rrule.NewRRule(*option)
	if err != nil {
		return nil, &OptionError{key, quoted, "a recurrence rule (RFC 5545): " + err.Error()}
	}
	return rule, nil
}

// dateOf returns the date of t as midnight UTC.
func dateOf(t time.Time) time.Time {
	y, m, d := t.Date()
	return time.Date(y, m, d, 0, 0, 0, 0, time.UTC)
}

// contains reports whether t lies in the window: it has begun on the day of t or the day
// before, and has not ended.
func (w *window) contains(t time.Time) bool {
	today := dateOf(t.In(w.zone))
	yesterday := today.AddDate(0, 0, -1)
	for _, day := range []time.Time{yesterday, today} {
		if len(w.rule.Between(day, day, true)) == 0 {
			continue
		}
		begin, end := w.startingOn(day)
		if !t.Before(begin) && t.Before(end) {
			return true
		}
	}
	return false
}

// startingOn returns the beginning and end of the window that begins startingOn a day.
func (w *window) startingOn(day time.Time) (begin, end time.Time) {
	lastDay := day
	if w.to.minutes() <= w.from.minutes() {
		lastDay = day.AddDate(0, 0, 1)
	}
	begin, _ = w.instants(day, w.from)
	_, end = w.instants(lastDay, w.to)
	return begin, end
}

// instants returns the first and the last instant at which clocks show a time on a day.
func (w *window) instants(day time.Time, c clockTime) (first, last time.Time) {
	y, m, d := day.Date()
	t := time.Date(y, m, d, c.hour, c.minute, 0, 0, w.zone)
	if !c.shownAt(t) {
		skipped := w.skippedInstant(day, c, t)
		return skipped, skipped
	}
	first, last = t, t
	// Clocks are put back by an hour nearly everywhere, by half of one on Lord Howe.
	for _, shift := range []time.Duration{-time.Hour, -30 * time.Minute, 30 * time.Minute, time.Hour} {
		other := t.Add(shift)
		if !c.shownAt(other.In(w.zone)) {
			continue
		}
		if other.Before(first) {
			first = other
		}
		if other.After(last) {
			last = other
		}
	}
	return first, last
}

// skippedInstant returns the instant for a time that is skipped on a day, by the offset of
// the zone before the skip. near is within an hour or so of it.
func (w *window) skippedInstant(day time.Time, c clockTime, near time.Time) time.Time {
	const beforeSkip = -6 * time.Hour
	_, offsetSeconds := near.Add(beforeSkip).Zone()
	y, m, d := day.Date()
	utc := time.Date(y, m, d, c.hour, c.minute, 0, 0, time.UTC)
	return utc.Add(-time.Duration(offsetSeconds) * time.Second)
}
