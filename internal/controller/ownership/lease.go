package ownership

import "garnethitch/internal/micros"

// MaxRenewalsInFlight bounds the renewals that await a response.
const MaxRenewalsInFlight = 4

// renewalsPerLease is how many renewals are sent within the duration of a lease.
const renewalsPerLease = 4

// leaseState is how a lease stands.
type leaseState int

const (
	// leaseAbsent means that there is none, and none has been requested.
	leaseAbsent leaseState = iota
	// leaseRequested means that one has been requested.
	leaseRequested
	// leaseHeld means that one has been granted. Whether it is still valid depends on its last
	// renewal.
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

// Lease is a controller's lease in the state service, under which its locks are held. It keeps
// the times; whoever owns it sends the requests.
//
// Renewals are sent at a steady pace, whether the last responses have come or not: a renewal
// counts from when it was sent, so that a late response is still worth something.
type Lease struct {
	duration         micros.Micros
	state            leaseState
	id               uint64
	renewalsInFlight int
	renewedAt        micros.Micros
	nextRenewalAt    micros.Micros
}

// NewLease returns a lease of a duration that has not been requested.
func NewLease(duration micros.Micros) Lease { return Lease{duration: duration} }

// Held reports whether a lease has been granted and not been lost.
func (l *Lease) Held() bool { return l.state == leaseHeld }

// ID returns the number of the lease in the state service, or 0 if none is held.
func (l *Lease) ID() uint64 { return l.id }

// Duration returns for how long the state service keeps the lease after a renewal.
func (l *Lease) Duration() micros.Micros { return l.duration }

// RenewedAt returns when the last successful renewal was sent.
func (l *Lease) RenewedAt() micros.Micros { return l.renewedAt }

// RequestDue reports whether a lease is to be requested.
func (l *Lease) RequestDue() bool { return l.state == leaseAbsent }

// Requested notes that a lease has been requested.
func (l *Lease) Requested() { l.state = leaseRequested }

// RequestFailed notes that the requested lease has not been granted.
func (l *Lease) RequestFailed() { l.state = leaseAbsent }

// Granted takes the lease that was requested at sentAt.
func (l *Lease) Granted(id uint64, sentAt, now micros.Micros) {
	l.state = leaseHeld
	l.id = id
	l.renewedAt = sentAt
	l.nextRenewalAt = now + l.renewalInterval()
}

// Lost gives up the lease.
func (l *Lease) Lost() {
	l.state = leaseAbsent
	l.id = 0
}

// RenewalDue reports whether a renewal is to be sent.
func (l *Lease) RenewalDue(now micros.Micros) bool {
	return l.Held() && l.renewalsInFlight < MaxRenewalsInFlight && now >= l.nextRenewalAt
}

// RenewalSent notes that a renewal is sent.
func (l *Lease) RenewalSent(now micros.Micros) {
	l.renewalsInFlight++
	l.nextRenewalAt = now + l.renewalInterval()
}

// RenewalEnded notes that the response to a renewal of a lease has come, or will not come. It
// reports whether that lease is still held.
func (l *Lease) RenewalEnded(id uint64) bool {
	l.renewalsInFlight--
	return l.id == id
}

// RenewalSucceeded extends the lease by a renewal that was sent at sentAt.
func (l *Lease) RenewalSucceeded(sentAt micros.Micros) { l.renewedAt = max(l.renewedAt, sentAt) }

// RetryRenewalBy has the next renewal sent no later than at a time.
func (l *Lease) RetryRenewalBy(at micros.Micros) { l.nextRenewalAt = min(l.nextRenewalAt, at) }

// renewalInterval returns the time between two renewals.
func (l *Lease) renewalInterval() micros.Micros { return l.duration / renewalsPerLease }
