package server

const (
	// maxEvicting is the number of connections that may be closing at a time to let
	// new ones in. They hold their sockets until they are closed.
	maxEvicting = 32
	// nearlyFullPercent is the part of MaxConns above which connections that are Spare are
	// closed after their answer.
	nearlyFullPercent = 80
)

// MaxSockets returns the most sockets that a Server with the given Config.MaxConns holds
// for connections, including those that are being evicted.
func MaxSockets(maxConns int) int { return maxConns + maxEvicting }

// evictLongestUnused has the longest unused connection closed that may be evicted and
// does not wait for an answer. It returns false if there is none, or if too many are
// closing already. The lock is held.
func (s *Server) evictLongestUnused() bool {
	if s.evicting >= maxEvicting {
		return false
	}
	for entry := s.evictable.Front(); entry != nil; entry = entry.Next() {
		c := entry.Value.(*conn)
		if c.awaitingReply {
			continue
		}
		s.exemptFromEviction(c)
		c.closing = true
		c.evicted = true
		s.evicting++
		_ = c.stream.Wake(nil)
		return true
	}
	return false
}

// exemptFromEviction exempts a connection from eviction. The lock is held.
func (s *Server) exemptFromEviction(c *conn) {
	if c.evictableEntry == nil {
		return
	}
	s.evictable.Remove(c.evictableEntry)
	c.evictableEntry = nil
}

// nearlyFull reports whether most of the connections that may be open are.
func (s *Server) nearlyFull() bool { return s.OpenConns() > s.cfg.MaxConns*nearlyFullPercent/100 }
