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

// stopLimit is how long a process may take to end after SIGTERM.
const stopLimit = 5 * time.Second

// fields are the key=value pairs of one log line.
type fields map[string]string

// process is one program that the experiment started.
type process struct {
	name  string
	cmd   *exec.Cmd
	log   *os.File
	lines *lineWatcher
	// ended is closed when the process has ended and was waited for.
	ended chan struct{}
}

// startProcess starts a program whose output goes to a file in directory; threads
// bounds the threads that run Go code at once, as on a small VM. The
// process has a process group of its own, so that Ctrl-C at the terminal reaches
// only the experiment, which then ends it.
func startProcess(directory, name string, threads int, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, ErrProcess.Wrap(err, "create the log of %s", name)
	}
	p := &process{
		name: name, log: log, ended: make(chan struct{}),
		lines: &lineWatcher{to: log, changed: make(chan struct{}), first: make(map[string]fields)},
	}
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = p.lines, p.lines
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

// event waits for the first log line with the given event.
func (p *process) event(ctx context.Context, name string) (fields, error) {
	for {
		found, changed := p.lines.find(name)
		if found != nil {
			return found, nil
		}
		select {
		case <-changed:
		case <-p.ended:
			if found, _ := p.lines.find(name); found != nil {
				return found, nil
			}
			return nil, ErrProcess.New("%s ended before event=%s; see %s", p.name, name, p.log.Name())
		case <-ctx.Done():
			return nil, ErrProcess.Wrap(ctx.Err(), "wait for event=%s of %s", name, p.name)
		}
	}
}

// terminate asks the process to end, without waiting.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

// kill ends the process at once and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// signal reaches the process only while it has not been waited for, so that its
// id cannot belong to another process.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// processorTime is the time that an ended process used.
func (p *process) processorTime() time.Duration {
	select {
	case <-p.ended:
		return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	default:
		return 0
	}
}

// peakMemory is the largest resident size of an ended process, in bytes.
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
	return usage.Maxrss * 1024 // Linux counts KiB
}

// stopAll ends processes, the last started first, waits for all of them, and
// kills those that take too long.
func stopAll(list []*process) {
	for i := len(list) - 1; i >= 0; i-- {
		list[i].terminate()
	}
	limit, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	for _, p := range list {
		select {
		case <-p.ended:
		case <-limit.Done():
			p.kill()
		}
	}
}

// lineWatcher copies output to a file and remembers the first line of each
// event.
type lineWatcher struct {
	to io.Writer

	mu      sync.Mutex
	rest    []byte
	first   map[string]fields
	changed chan struct{} // closed and replaced when first grows
}

// Write implements io.Writer.
func (w *lineWatcher) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rest = append(w.rest, b...)
	for {
		end := bytes.IndexByte(w.rest, '\n')
		if end < 0 {
			break
		}
		w.line(string(w.rest[:end]))
		w.rest = w.rest[end+1:]
	}
	return w.to.Write(b)
}

func (w *lineWatcher) line(text string) {
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
	if name := got["event"]; name != "" && w.first[name] == nil {
		w.first[name] = got
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

func (w *lineWatcher) find(event string) (fields, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.first[event], w.changed
}
