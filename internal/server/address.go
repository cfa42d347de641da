package server

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// checkFree tells whether nobody else listens on an address. It binds and does not
// listen: a client that came in the meantime would be accepted by the kernel, and reset.
func checkFree(address string) error {
	addr, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	defer unix.Close(fd)
	// As for listening: what is left of an earlier process's connections is in nobody's way.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	to := &unix.SockaddrInet4{Port: addr.Port}
	copy(to.Addr[:], addr.IP.To4())
	if err := unix.Bind(fd, to); err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	return nil
}
