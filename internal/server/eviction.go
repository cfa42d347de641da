package server

const (
	// maxEvicting bounds the connections that are being closed at the same time to make room
	// for new ones. They hold their sockets until they are closed.
	maxEvicting = 32
	// nearlyFullPercent is the percentage of Config.MaxConns above which connections are
	// closed after a Response with CloseIfNearlyFull.
	nearlyFullPercent = 80
)

// MaxSockets returns the maximum number of sockets that a Server with the given Config.MaxConns
// uses for connections, including those that are being evicted.
func MaxSockets(maxConns int) int { return maxConns + maxEvicting }

// evictLongestUnused begins to close the connection that has been unused for the longest time
// among those that may be evicted and do not wait for a response. It returns false if there is
// none, or if maxEvicting connections are already being evicted. s.mu must be held.
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

// exemptFromEviction exempts a connection from eviction. s.mu must be held.
func (s *Server) exemptFromEviction(c *conn) {
	if c.evictableEntry == nil {
		return
	}
	s.evictable.Remove(c.evictableEntry)
	c.evictableEntry = nil
}

// nearlyFull reports whether more than nearlyFullPercent of the permitted connections are open.
func (s *Server) nearlyFull() bool { return s.OpenConns() > s.cfg.MaxConns*nearlyFullPercent/100 }
