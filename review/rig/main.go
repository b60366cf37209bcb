// Command rig runs the scripts of the review: it starts processes of the tier, stand-ins for the
// platform's store and the replicas, and clients, and checks one rule of RULES.md from what the
// clients and the replicas see. Its exit code is 0 if the rule held, 1 if it was broken and 2 if
// the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseLimit ends a run that hangs.
const caseLimit = 110 * time.Second

// maxPrinted is the number of violations that are printed; record.txt has all.
const maxPrinted = 5

// cases are the scripts by name. Each returns what broke the rule; none if it held.
var cases = map[string]func(*run) []string{}

// run is one run of a case.
type run struct {
	dir     string // for settings and logs
	ip      string // prefix of the loopback addresses, without the last number
	trouble bool
	record  *os.File
	started time.Time
	mu      sync.Mutex
}

// note writes a line to record.txt with the time since the start in milliseconds.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%7d ms  %s\n", time.Since(r.started).Milliseconds(), fmt.Sprintf(format, args...))
}

// address returns the loopback address with the given last number.
func (r *run) address(n int) string { return fmt.Sprintf("%s.%d", r.ip, n) }

var (
	cleanups   []func()
	cleanupsMu sync.Mutex
)

// onExit registers a function that ends a process or removes files.
func onExit(f func()) {
	cleanupsMu.Lock()
	defer cleanupsMu.Unlock()
	cleanups = append(cleanups, f)
}

// exit runs the registered functions, the last one first, and ends this process.
func exit(code int) {
	cleanupsMu.Lock()
	defer cleanupsMu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	fmt.Printf("cannot run: "+format+"\n", args...)
	exit(exitCannotRun)
}

func must(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

// root is the root of the repository; run.sh starts this program there.
func root() string {
	dir, err := os.Getwd()
	must(err)
	return dir
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: rig CASE FOLDER")
	}
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	if os.Getenv("KEEP") == "" {
		onExit(func() { _ = os.RemoveAll(dir) })
	} else {
		fmt.Println("settings and logs:", dir)
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	must(err)
	r := &run{
		dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: record, started: time.Now(),
		ip: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() { cannotRun("stopped by %v", <-stopped) }()
	time.AfterFunc(caseLimit, func() { cannotRun("the run takes longer than %v", caseLimit) })
	broken := cases[os.Args[1]](r)
	for i, b := range broken {
		r.note("BROKEN %s", b)
		if i < maxPrinted {
			fmt.Println("broken:", b)
		}
	}
	if len(broken) > 0 {
		fmt.Println("broken in all:", len(broken))
		exit(exitBroken)
	}
	r.note("the rule held")
	fmt.Println("held")
	exit(exitHeld)
}
