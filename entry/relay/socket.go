package relay

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// writeNow writes as much to a socket as its buffer takes without waiting, and returns the number
// of bytes. It writes nothing to a connection that is no socket of the operating system.
func writeNow(conn net.Conn, data []byte) (written int, err error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var writeErr error
	err = raw.Write(func(fd uintptr) (done bool) {
		written, writeErr = unix.Write(int(fd), data)
		return true // do not wait until the socket takes more
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(writeErr, unix.EAGAIN) || errors.Is(writeErr, unix.EINTR):
		return 0, nil
	case writeErr != nil:
		return 0, writeErr
	}
	return written, nil
}

// tcpInfo returns the kernel's statistics of a TCP connection. ok is unset if there are none.
func tcpInfo(conn net.Conn) (info *unix.TCPInfo, ok bool) {
	sc, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, false
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, err == nil && optionErr == nil
}

// kernelRTT returns the kernel's estimate of the round-trip time, or 0 if there is none.
func kernelRTT(conn net.Conn) time.Duration {
	info, ok := tcpInfo(conn)
	if !ok {
		return 0
	}
	return time.Duration(info.Rtt) * time.Microsecond
}

// delivered reports whether the peer's kernel has acknowledged all that was written to a
// connection, or true if that is not known.
func delivered(conn net.Conn) bool {
	info, ok := tcpInfo(conn)
	return !ok || info.Notsent_bytes == 0 && info.Unacked == 0
}
