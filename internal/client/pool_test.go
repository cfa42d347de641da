package client

import (
	"fmt"
	"testing"
	"time"
)

// TestLongestIdleEvicted checks that idle connections never prevent calls to other addresses: the
// one that has been idle for the longest time is closed instead. Without that, a failover with 900
// machines found all 400 connections idle and could make no calls for 10 s.
func TestLongestIdleEvicted(t *testing.T) {
	dial, dials := answeringDialer(okResponse)
	c := New(Config{MaxIdle: 1, MaxConns: 4, MaxBodyBytes: 50, IdleTimeout: time.Hour, DialTimeout: time.Hour, Dial: dial})
	ask := func(i int) {
		addr := fmt.Sprintf("a:%d", i)
		if _, err := c.Do(t.Context(), Call{Addr: addr, Method: "GET", Target: "/", Timeout: time.Hour}); err != nil {
			t.Errorf("%s: %v", addr, err)
		}
	}
	for i := range 10 {
		ask(i)
	}
	if ask(9); *dials != 10 || c.openConns != 4 {
		t.Errorf("%d connections opened, %d open now, want 10 and 4", *dials, c.openConns)
	}
	if ask(0); *dials != 11 {
		t.Errorf("%d connections opened, want 11: the connection that was idle for the longest time must have been closed", *dials)
	}
}
