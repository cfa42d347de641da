package ownership

import "garnethitch/internal/micros"

// MaxRenewalsInFlight is the maximum number of renewals that await a response.
const MaxRenewalsInFlight = 4

// renewalsPerLease is the number of renewals that are sent within the duration of a lease.
const renewalsPerLease = 4

// leaseState is the state of a Lease.
type leaseState int

const (
	// leaseAbsent means that no lease is held and none has been requested.
	leaseAbsent leaseState = iota
	// leaseRequested means that a lease has been requested and the response is outstanding.
	leaseRequested
	// leaseHeld means that a lease has been granted. Whether it is still valid depends on when it
	// was last renewed.
	leaseHeld
)

// String returns the name of the state.
func (s leaseState) String() string {
	switch s {
	case leaseAbsent:
		return "absent"
	case leaseRequested:
		return "requested"
	}
	return "held"
}

// Lease tracks the state of a controller's lease in the state service, to which its locks are
// bound. It keeps the state and the times; the caller sends the requests.
//
// Renewals are sent at fixed intervals, whether or not earlier responses have arrived. A renewal
// takes effect from the time at which it was sent, so a late response still extends the lease.
type Lease struct {
	duration         micros.Micros
	state            leaseState
	id               uint64
	renewalsInFlight int
	renewedAt        micros.Micros
	nextRenewalAt    micros.Micros
}

// NewLease returns a lease of the given duration that has not been requested.
func NewLease(duration micros.Micros) Lease { return Lease{duration: duration} }

// Held reports whether the lease has been granted and has not been lost.
func (l *Lease) Held() bool { return l.state == leaseHeld }

// ID returns the identifier of the lease in the state service, or 0 if no lease is held.
func (l *Lease) ID() uint64 { return l.id }

// Duration returns how long the state service keeps the lease after a renewal.
func (l *Lease) Duration() micros.Micros { return l.duration }

// RenewedAt returns when the last successful renewal was sent.
func (l *Lease) RenewedAt() micros.Micros { return l.renewedAt }

// RequestDue reports whether a lease must be requested now.
func (l *Lease) RequestDue() bool { return l.state == leaseAbsent }

// Requested records that a lease has been requested.
func (l *Lease) Requested() { l.state = leaseRequested }

// RequestFailed records that the requested lease was not granted.
func (l *Lease) RequestFailed() { l.state = leaseAbsent }

// Granted records that the lease requested at sentAt was granted under id.
func (l *Lease) Granted(id uint64, sentAt, now micros.Micros) {
	l.state = leaseHeld
	l.id = id
	l.renewedAt = sentAt
	l.nextRenewalAt = now + l.renewalInterval()
}

// Lost records that the lease is no longer held.
func (l *Lease) Lost() {
	l.state = leaseAbsent
	l.id = 0
}

// RenewalDue reports whether a renewal must be sent now.
func (l *Lease) RenewalDue(now micros.Micros) bool {
	return l.Held() && l.renewalsInFlight < MaxRenewalsInFlight && now >= l.nextRenewalAt
}

// RenewalSent records that a renewal was sent.
func (l *Lease) RenewalSent(now micros.Micros) {
	l.renewalsInFlight++
	l.nextRenewalAt = now + l.renewalInterval()
}

// RenewalEnded records that the response to a renewal of the lease id has arrived, or will not
// arrive. It reports whether that lease is still held.
func (l *Lease) RenewalEnded(id uint64) bool {
	l.renewalsInFlight--
	return l.id == id
}

// RenewalSucceeded records that a renewal sent at sentAt has extended the lease.
func (l *Lease) RenewalSucceeded(sentAt micros.Micros) { l.renewedAt = max(l.renewedAt, sentAt) }

// RetryRenewalBy schedules the next renewal no later than the given time.
func (l *Lease) RetryRenewalBy(at micros.Micros) { l.nextRenewalAt = min(l.nextRenewalAt, at) }

// renewalInterval returns the time between two renewals.
func (l *Lease) renewalInterval() micros.Micros { return l.duration / renewalsPerLease }
