package experiment

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-logfmt/logfmt"
)

// stopTimeout is how long processes may take to exit after SIGTERM before they are
// killed.
const stopTimeout = 5 * time.Second

// fields holds the key=value pairs of a log line.
type fields map[string]string

// process is a process that the experiment started.
type process struct {
	name   string
	cmd    *exec.Cmd
	log    *os.File
	events *eventWatcher
	// ended is closed after the process has exited and was waited for.
	ended chan struct{}
}

// startProcess starts a program and writes its output to NAME.log in directory.
// threads is the GOMAXPROCS of the process, which limits the threads that run Go
// code at once, as on a small VM. The process has its own process group, so that
// Ctrl-C at the terminal reaches only the experiment, which then ends the process.
func startProcess(directory, name string, threads int, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, ErrProcess.Wrap(err, "create the log of %s", name)
	}
	p := &process{
		name: name, log: log, ended: make(chan struct{}),
		events: &eventWatcher{out: log, changed: make(chan struct{}), firstLines: make(map[string]fields)},
	}
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = p.events, p.events
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(threads))
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return nil, ErrProcess.Wrap(err, "start %s", name)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	return p, nil
}

// waitForEvent waits for the first log line with the given event and returns its
// fields. It fails if the process exits without logging the event.
func (p *process) waitForEvent(ctx context.Context, name string) (fields, error) {
	for {
		found, changed := p.events.find(name)
		if found != nil {
			return found, nil
		}
		select {
		case <-changed:
		case <-p.ended:
			if found, _ := p.events.find(name); found != nil {
				return found, nil
			}
			return nil, ErrProcess.New("%s ended before event=%s; see %s", p.name, name, p.log.Name())
		case <-ctx.Done():
			return nil, ErrProcess.Wrap(ctx.Err(), "wait for event=%s of %s", name, p.name)
		}
	}
}

// terminate sends SIGTERM and does not wait.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// signal sends a signal unless the process was already waited for, since its id
// may belong to another process by then.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// processorTime returns the user and system time of an ended process, or 0 if it
// still runs.
func (p *process) processorTime() time.Duration {
	select {
	case <-p.ended:
		return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	default:
		return 0
	}
}

// peakMemory returns the peak resident set size of an ended process in bytes, or 0
// if it still runs.
func (p *process) peakMemory() int64 {
	select {
	case <-p.ended:
	default:
		return 0
	}
	usage, ok := p.cmd.ProcessState.SysUsage().(*syscall.Rusage)
	if !ok {
		return 0
	}
	return usage.Maxrss * 1024 // Linux reports KiB
}

// stopAll sends SIGTERM to the processes, last started first, waits for all of
// them, and kills those that still run after stopTimeout.
func stopAll(list []*process) {
	for i := len(list) - 1; i >= 0; i-- {
		list[i].terminate()
	}
	limit, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, p := range list {
		select {
		case <-p.ended:
		case <-limit.Done():
			p.kill()
		}
	}
}

// eventWatcher copies the output of a process and keeps the fields of the first log
// line of each event.
type eventWatcher struct {
	out io.Writer

	mu          sync.Mutex
	partialLine []byte            // output after the last newline
	firstLines  map[string]fields // by event name
	changed     chan struct{}     // closed and replaced when firstLines gets an event
}

// Write implements io.Writer. It parses complete lines and copies all output.
func (w *eventWatcher) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partialLine = append(w.partialLine, b...)
	for {
		end := bytes.IndexByte(w.partialLine, '\n')
		if end < 0 {
			break
		}
		w.parseLine(string(w.partialLine[:end]))
		w.partialLine = w.partialLine[end+1:]
	}
	return w.out.Write(b)
}

// parseLine records the fields of a line if it is the first of its event. The
// caller holds mu.
func (w *eventWatcher) parseLine(text string) {
	if !strings.Contains(text, "event=") {
		return
	}
	got := make(fields)
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			got[string(decoder.Key())] = string(decoder.Value())
		}
	}
	if name := got["event"]; name != "" && w.firstLines[name] == nil {
		w.firstLines[name] = got
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

// find returns the fields of the first line of an event, or nil, and a channel that
// is closed when another event is recorded.
func (w *eventWatcher) find(event string) (fields, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.firstLines[event], w.changed
}
