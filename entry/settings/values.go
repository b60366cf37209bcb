package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/units"
)

// maxNameBytes is the longest name that the protocols between the processes accept.
const maxNameBytes = 256

// textValue is a setting that is written as a JSON string.
type textValue interface {
	// parse sets the value; its error completes the sentence "key: ...".
	parse(text string) error
}

// Name is a non-empty identifier.
type Name string

func (n *Name) parse(text string) error {
	if text == "" {
		return errors.New("is empty")
	}
	if len(text) > maxNameBytes {
		return fmt.Errorf("is longer than %d bytes", maxNameBytes)
	}
	*n = Name(text)
	return nil
}

// Duration is a time span with a unit, such as "1.5s" or "200ms"; above 0.
type Duration time.Duration

func (d *Duration) parse(text string) error {
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit of ms, s, m or h", text)
	}
	if v <= 0 {
		return errors.New("must be above 0")
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Size is a number of bytes with a unit, such as "64KiB"; above 0.
type Size int64

func (s *Size) parse(text string) error {
	v, err := units.ParseStrictBytes(text)
	if err != nil {
		return fmt.Errorf("%q is not a size with a unit of B, KiB or MiB", text)
	}
	if v <= 0 || v > int64(units.GiB) {
		return errors.New("must be above 0 and at most 1GiB")
	}
	*s = Size(v)
	return nil
}

// Memory is a number of bytes with a unit that a process needs at least to run.
type Memory int64

// minMemory is the least memory that a process gets along with.
const minMemory = 64 * int64(units.MiB)

func (m *Memory) parse(text string) error {
	v, err := units.ParseStrictBytes(text)
	if err != nil {
		return fmt.Errorf("%q is not a size with a unit of MiB or GiB", text)
	}
	if v < minMemory {
		return errors.New("must be at least 64MiB")
	}
	*m = Memory(v)
	return nil
}

// Count is a whole number above 0.
type Count int

// LogLevel is debug, info, warn or error.
type LogLevel string

func (l *LogLevel) parse(text string) error {
	*l = LogLevel(text)
	return oneOf(text, "debug", "info", "warn", "error")
}

// SlowParts is hedge, wait or replace.
type SlowParts string

func (p *SlowParts) parse(text string) error {
	*p = SlowParts(text)
	return oneOf(text, "hedge", "wait", "replace")
}

// Budget is bounded or unbounded.
type Budget string

func (b *Budget) parse(text string) error {
	*b = Budget(text)
	return oneOf(text, "bounded", "unbounded")
}

func oneOf(text string, allowed ...string) error {
	if slices.Contains(allowed, text) {
		return nil
	}
	return fmt.Errorf("%q is not one of %s", text, strings.Join(allowed, ", "))
}

// ListenAddress is the IP:port of a listener; port 0 lets the kernel choose.
type ListenAddress string

func (a *ListenAddress) parse(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Errorf("%q is not IP:port", text)
	}
	*a = ListenAddress(text)
	return nil
}

// ReachableAddress is a ListenAddress that other VMs can connect to.
type ReachableAddress string

func (a *ReachableAddress) parse(text string) error {
	ap, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is not IP:port", text)
	}
	if ap.Addr().IsUnspecified() {
		return fmt.Errorf("%q is not an address that other nodes can connect to", text)
	}
	*a = ReachableAddress(text)
	return nil
}

// RemoteAddress is the host:port of another process.
type RemoteAddress string

func (a *RemoteAddress) parse(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return fmt.Errorf("%q is not host:port", text)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%q has no port from 1 to 65535", text)
	}
	*a = RemoteAddress(text)
	return nil
}

// URL is an http or https address.
type URL string

func (u *URL) parse(text string) error {
	v, err := url.Parse(text)
	if err != nil || v.Host == "" || (v.Scheme != "http" && v.Scheme != "https") {
		return fmt.Errorf("%q is not an http or https URL", text)
	}
	*u = URL(text)
	return nil
}

// portOf returns the port of a checked address.
func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}
