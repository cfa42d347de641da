package server

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// checkFree returns an error if another socket listens on the address. It binds and does
// not listen: the kernel would accept a client in the meantime, and then reset it.
func checkFree(address string) error {
	addr, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return fmt.Errorf("resolve address: %w", err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	defer unix.Close(fd)
	// As when listening: connections of an earlier process in TIME_WAIT do not count.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return fmt.Errorf("set SO_REUSEADDR: %w", err)
	}
	sockaddr := &unix.SockaddrInet4{Port: addr.Port}
	copy(sockaddr.Addr[:], addr.IP.To4())
	if err := unix.Bind(fd, sockaddr); err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	return nil
}
