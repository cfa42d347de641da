package quota

import (
	"testing"
	"time"
)

// TestSchedule checks that a scheduled limit applies at the times that its rule and zone say,
// also on days on which clocks change. In New York in 2027 clocks are put forward on 14 March,
// from 2:00 to 3:00, and back on 7 November, from 2:00 to 1:00.
func TestSchedule(t *testing.T) {
	daily := func(from, to string) ScheduleOptions {
		return ScheduleOptions{Rule: "FREQ=DAILY", From: from, To: to, Zone: "America/New_York", Limit: CPULimit(1)}
	}
	firstOfMonth := ScheduleOptions{Rule: "FREQ=MONTHLY;BYMONTHDAY=1", From: "06:00", To: "12:00", Zone: "Africa/Kigali"}
	lastWorkday := ScheduleOptions{Rule: "FREQ=MONTHLY;BYDAY=MO,TU,WE,TH,FR;BYSETPOS=-1", From: "18:00", To: "02:00", Zone: "America/Chicago"}
	sundayNight := ScheduleOptions{Rule: "FREQ=WEEKLY;BYDAY=SU", From: "22:00", To: "05:00", Zone: "UTC"}
	untilTenth := ScheduleOptions{Rule: "FREQ=DAILY;UNTIL=20270110T000000Z", From: "01:00", To: "02:00", Zone: "UTC"}
	for _, tc := range []struct {
		name     string
		schedule ScheduleOptions
		at       string // UTC
		holds    bool
	}{
		{"the first of the month", firstOfMonth, "2027-02-01T04:00:00Z", true},
		{"just before", firstOfMonth, "2027-02-01T03:59:59Z", false},
		{"at the end", firstOfMonth, "2027-02-01T10:00:00Z", false},
		{"another day", firstOfMonth, "2027-02-02T05:00:00Z", false},
		{"the last workday", lastWorkday, "2027-01-30T07:59:00Z", true},
		{"past midnight", sundayNight, "2027-01-04T04:59:00Z", true},
		{"past midnight, after the end", sundayNight, "2027-01-04T05:00:00Z", false},
		{"all day", daily("00:00", "00:00"), "2027-06-01T12:00:00Z", true},
		// 02:30 is skipped. It is read as 03:30 summer time, which is 07:30 UTC.
		{"begins in the skipped hour, before", daily("02:30", "06:00"), "2027-03-14T07:29:00Z", false},
		{"begins in the skipped hour", daily("02:30", "06:00"), "2027-03-14T07:30:00Z", true},
		{"ends in the skipped hour", daily("00:30", "02:30"), "2027-03-14T07:29:00Z", true},
		{"ends in the skipped hour, after", daily("00:30", "02:30"), "2027-03-14T07:30:00Z", false},
		// 01:30 occurs twice, at 05:30 and 06:30 UTC.
		{"begins in the repeated hour", daily("01:30", "06:00"), "2027-11-07T05:30:00Z", true},
		{"begins in the repeated hour, before", daily("01:30", "06:00"), "2027-11-07T05:29:00Z", false},
		{"ends in the repeated hour", daily("00:30", "01:30"), "2027-11-07T06:29:00Z", true},
		{"ends in the repeated hour, after", daily("00:30", "01:30"), "2027-11-07T06:30:00Z", false},
		{"after the end of the rule", untilTenth, "2027-01-11T01:30:00Z", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			group := GroupOptions{Name: "a", Limit: CPULimit(9), Schedule: []ScheduleOptions{tc.schedule}}
			tree, err := NewTree(Options{Groups: []GroupOptions{group}}, nil)
			if err != nil {
				t.Fatal(err)
			}
			at, err := time.Parse(time.RFC3339, tc.at)
			if err != nil {
				t.Fatal(err)
			}
			if d := tree.Definitions(at)[0]; d.Scheduled != tc.holds {
				t.Errorf("at %s the limit is scheduled: %v, want %v", tc.at, d.Scheduled, tc.holds)
			}
		})
	}
}
