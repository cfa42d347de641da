package server

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// checkFree returns an error if another socket listens on the address. It binds a socket but does
// not listen on it: otherwise the kernel could accept a client's connection and reset it when the
// socket is closed.
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
	// gnet sets this option as well. Without it, connections of an earlier process in TIME_WAIT
	// would make bind fail.
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
