package crowd

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the time between two measurements of a Monitor.
const sampleInterval = 50 * time.Millisecond

// Usage is what a process holds.
type Usage struct {
	// ResidentBytes is the resident memory.
	ResidentBytes int64
	// UnreadBytes is what the kernel has received for the process and it has not read.
	UnreadBytes int64
	// Sockets is the number of its sockets.
	Sockets int
}

// Measure returns what a process holds.
func Measure(pid int) (Usage, error) {
	resident, err := statusBytes(pid, "VmRSS")
	if err != nil {
		return Usage{}, err
	}
	inodes, err := socketInodes(pid)
	if err != nil {
		return Usage{}, err
	}
	unread, err := unreadBytes(inodes)
	return Usage{ResidentBytes: resident, UnreadBytes: unread, Sockets: len(inodes)}, err
}

// PeakResidentBytes returns the greatest resident memory that a process has had.
func PeakResidentBytes(pid int) (int64, error) { return statusBytes(pid, "VmHWM") }

// statusBytes reads a size from the status of a process.
func statusBytes(pid int, field string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		if name != field {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		return kib << 10, err
	}
	return 0, fmt.Errorf("process %d has no %s: it has ended", pid, field)
}

// socketInodes returns the inodes of the sockets of a process.
func socketInodes(pid int) (map[string]bool, error) {
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	inodes := make(map[string]bool)
	for _, e := range entries {
		link, err := os.Readlink(filepath.Join(directory, e.Name()))
		if err != nil {
			continue // closed meanwhile
		}
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, nil
}

// Columns of /proc/net/tcp.
const (
	columnLocal = 1
	columnState = 3
	columnQueue = 4
	columnInode = 9
	// stateListen marks a listener.
	stateListen = "0A"
	// inodeNone is the inode of a connection that has not been accepted.
	inodeNone = "0"
)

// unreadBytes sums the receive queues of sockets, and of the connections that wait to be accepted by
// them.
func unreadBytes(inodes map[string]bool) (int64, error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }() // nothing was written
	var sum int64
	listening := make(map[string]bool) // by local address
	waiting := make(map[string]int64)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		row := strings.Fields(lines.Text())
		if len(row) <= columnInode {
			continue
		}
		_, queue, _ := strings.Cut(row[columnQueue], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		switch {
		case err != nil: // the heading
		case row[columnState] == stateListen:
			listening[row[columnLocal]] = listening[row[columnLocal]] || inodes[row[columnInode]]
		case inodes[row[columnInode]]:
			sum += bytes
		case row[columnInode] == inodeNone:
			waiting[row[columnLocal]] += bytes
		}
	}
	for address, bytes := range waiting {
		if listening[address] {
			sum += bytes
		}
	}
	return sum, nil
}

// Monitor measures a process repeatedly and keeps the greatest values.
type Monitor struct {
	mu   sync.Mutex
	peak Peak
	stop chan struct{}
	done chan struct{}
}

// Peak holds the greatest values that a Monitor has seen.
type Peak struct {
	// Bytes is resident memory and unread bytes together.
	Bytes   int64
	Sockets int
}

// Watch starts to measure a process.
func Watch(pid int) *Monitor {
	m := &Monitor{stop: make(chan struct{}), done: make(chan struct{})}
	go m.run(pid)
	return m
}

func (m *Monitor) run(pid int) {
	defer close(m.done)
	for {
		if u, err := Measure(pid); err == nil { // otherwise the process has ended, which the test notices
			m.mu.Lock()
			m.peak.Bytes = max(m.peak.Bytes, u.ResidentBytes+u.UnreadBytes)
			m.peak.Sockets = max(m.peak.Sockets, u.Sockets)
			m.mu.Unlock()
		}
		select {
		case <-m.stop:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// Stop ends the measurements and returns the greatest values.
func (m *Monitor) Stop() Peak {
	close(m.stop)
	<-m.done
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}
