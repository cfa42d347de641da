package quota

import (
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // for machines without a time zone database

	"github.com/teambition/rrule-go"
)

// window is a recurring time window in which a limit replaces the group's own.
//
// A window begins and ends at times on a wall clock. A time that is skipped because clocks are
// put forward is read by the offset from before the change: 02:30 in a skipped hour is half an
// hour after the change. If a time occurs twice because clocks are put back, the window begins
// at its first occurrence and ends at its second, so that a window is never shorter than the
// operator specified.
type window struct {
	rule     *rrule.RRule // the days on which the window begins, at midnight UTC
	zone     *time.Location
	from, to clockTime
	limit    Limit
}

// clockTime is a time of day.
type clockTime struct{ hour, minute int }

// minutes returns the time of day in minutes since midnight.
func (c clockTime) minutes() int { return c.hour*60 + c.minute }

// shownAt reports whether a clock in the time zone of t shows this time of day at t.
func (c clockTime) shownAt(t time.Time) bool { return t.Hour() == c.hour && t.Minute() == c.minute }

// newWindow checks the options of a schedule and returns its window. key is the prefix of the
// options' names in an OptionError.
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

// parseZone returns a time zone by its name. It refuses the local zone of the machine, which
// has no name of its own.
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
		return clockTime{}, &OptionError{key, fmt.Sprintf("%q", text), "a time of day, HH:MM"}
	}
	return clockTime{t.Hour(), t.Minute()}, nil
}

// scheduleStart is the first day of a rule without a DTSTART.
var scheduleStart = time.Date(2020, time.January, 1, 0, 0, 0, 0, time.UTC)

// parseRule returns a recurrence rule (RFC 5545) of days. A day is a date at midnight UTC.
func parseRule(key, text string) (*rrule.RRule, error) {
	quoted := fmt.Sprintf("%q", text)
	option, err := rrule.StrToROption(text)
	if err != nil || strings.TrimSpace(text) == "" {
		return nil, &OptionError{key, quoted, "a recurrence rule (RFC 5545), such as FREQ=MONTHLY;BYMONTHDAY=1"}
	}
	if option.Freq > rrule.DAILY {
		return nil, &OptionError{key, quoted, "a rule for days: FREQ=DAILY, WEEKLY, MONTHLY or YEARLY"}
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

// dateOf returns the date of t, in the zone of t, as midnight UTC.
func dateOf(t time.Time) time.Time {
	y, m, d := t.Date()
	return time.Date(y, m, d, 0, 0, 0, 0, time.UTC)
}

// contains reports whether t is in the window. A window that contains t begins on the day of t
// or on the day before.
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

// startingOn returns the beginning and the end of the window that begins on a day.
func (w *window) startingOn(day time.Time) (begin, end time.Time) {
	lastDay := day
	if w.to.minutes() <= w.from.minutes() {
		lastDay = day.AddDate(0, 0, 1)
	}
	begin, _ = w.instants(day, w.from)
	_, end = w.instants(lastDay, w.to)
	return begin, end
}

// instants returns the first and the last instant at which clocks show a time of day on a day.
// Both are the same unless the time occurs twice.
func (w *window) instants(day time.Time, c clockTime) (first, last time.Time) {
	y, m, d := day.Date()
	t := time.Date(y, m, d, c.hour, c.minute, 0, 0, w.zone)
	if !c.shownAt(t) {
		skipped := w.skippedInstant(day, c, t)
		return skipped, skipped
	}
	first, last = t, t
	// Clocks are put back by one hour nearly everywhere, and by half an hour on Lord Howe Island.
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

// skippedInstant returns the instant of a time of day that is skipped on a day, by the zone's
// offset before clocks were put forward. near is an instant within about an hour of it.
func (w *window) skippedInstant(day time.Time, c clockTime, near time.Time) time.Time {
	const beforeSkip = -6 * time.Hour
	_, offsetSeconds := near.Add(beforeSkip).Zone()
	y, m, d := day.Date()
	utc := time.Date(y, m, d, c.hour, c.minute, 0, 0, time.UTC)
	return utc.Add(-time.Duration(offsetSeconds) * time.Second)
}
