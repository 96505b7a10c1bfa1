package web

import (
	"errors"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// takeQueued accepts the connections that the kernel has queued for a listener, without waiting and whatever the listener's deadline.
func takeQueued(l *net.TCPListener) ([]net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var accepted []int
	if err := raw.Control(func(fd uintptr) { accepted = acceptAll(int(fd)) }); err != nil {
		return nil, Error.Wrap(err)
	}
	var conns []net.Conn
	var failures []error
	for _, fd := range accepted {
		f := os.NewFile(uintptr(fd), "")
		c, err := net.FileConn(f)
		if err != nil {
			failures = append(failures, err)
		} else {
			conns = append(conns, c)
		}
		_ = f.Close()
	}
	return conns, Error.Wrap(errors.Join(failures...))
}

// acceptAll returns the file descriptors of the connections that are queued for a listener.
func acceptAll(listener int) []int {
	var accepted []int
	for {
		fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			accepted = append(accepted, fd)
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		default:
			return accepted
		}
	}
}
