package ownership

import (
	"testing"

	"garnethitch/internal/micros"
)

const sec = micros.Second

func TestLeaseIsRequestedOnce(t *testing.T) {
	l := NewLease(8 * sec)
	if !l.RequestDue() || l.Held() || l.RenewalDue(100*sec) {
		t.Fatalf("a new lease is %s, want it due to be requested", l.state)
	}
	l.Requested()
	if l.RequestDue() || l.Held() {
		t.Fatalf("a lease that has been requested is %s, want no further request due and no lease held", l.state)
	}
	l.RequestFailed()
	if !l.RequestDue() {
		t.Fatalf("a lease whose request failed is %s, want it due to be requested", l.state)
	}
	l.Requested()
	l.Granted(7, 10*sec, 11*sec)
	if !l.Held() || l.RequestDue() || l.ID() != 7 || l.RenewedAt() != 10*sec {
		t.Fatalf("a lease that has been granted is %+v, want lease 7 held and renewed at 10 s", l)
	}
	l.Lost()
	if l.Held() || l.ID() != 0 || !l.RequestDue() {
		t.Fatalf("a lost lease is %+v, want it not held and due to be requested", l)
	}
}

func TestLeaseRenewalsAreBoundedAndSteady(t *testing.T) {
	l := NewLease(8 * sec)
	l.Granted(7, 10*sec, 10*sec)
	if l.RenewalDue(12*sec - 1) {
		t.Error("a renewal is due before a quarter of the lease is over")
	}
	now := 12 * sec
	for i := range MaxRenewalsInFlight {
		if !l.RenewalDue(now) {
			t.Fatalf("renewal %d is not due", i+1)
		}
		l.RenewalSent(now)
		if l.RenewalDue(now) {
			t.Fatalf("renewal %d is sent twice", i+1)
		}
		now += 2 * sec
	}
	if l.RenewalDue(now) {
		t.Errorf("a renewal is due although %d are in flight", MaxRenewalsInFlight)
	}
	if !l.RenewalEnded(7) || !l.RenewalDue(now) {
		t.Error("no renewal is due after one has ended")
	}
}

func TestLeaseRenewal(t *testing.T) {
	for _, tc := range []struct {
		name        string
		respond     func(l *Lease)
		wantRenewed micros.Micros
		wantNext    micros.Micros
	}{
		{"takes effect from when it was sent", func(l *Lease) { l.RenewalSucceeded(12 * sec) }, 12 * sec, 14 * sec},
		{"a late response to an earlier renewal changes nothing", func(l *Lease) { l.RenewalSucceeded(12 * sec); l.RenewalSucceeded(11 * sec) }, 12 * sec, 14 * sec},
		{"failed: retried early", func(l *Lease) { l.RetryRenewalBy(13 * sec) }, 10 * sec, 13 * sec},
		{"failed late: the next one is due before the retry", func(l *Lease) { l.RetryRenewalBy(15 * sec) }, 10 * sec, 14 * sec},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := NewLease(8 * sec)
			l.Granted(7, 10*sec, 10*sec)
			l.RenewalSent(12 * sec)
			if !l.RenewalEnded(7) {
				t.Fatal("the lease is no longer held")
			}
			tc.respond(&l)
			if l.RenewedAt() != tc.wantRenewed {
				t.Errorf("renewed at %v, want %v", l.RenewedAt(), tc.wantRenewed)
			}
			if l.RenewalDue(tc.wantNext-1) || !l.RenewalDue(tc.wantNext) {
				t.Errorf("the next renewal is not due at %v", tc.wantNext)
			}
		})
	}
}

func TestLeaseRenewalOfFormerLease(t *testing.T) {
	l := NewLease(8 * sec)
	l.Granted(7, 10*sec, 10*sec)
	l.RenewalSent(12 * sec)
	l.Lost()
	l.Requested()
	l.Granted(8, 13*sec, 13*sec)
	if l.RenewalEnded(7) {
		t.Error("the response to a renewal of a former lease was applied to the new one")
	}
}
