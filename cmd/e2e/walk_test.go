package e2e

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

var update = flag.Bool("update", false, "write the output of the walkthrough into README.md")

const (
	repoRoot         = "../.."
	walkthroughBegin = "<!-- walk -->"
	walkthroughEnd   = "<!-- end of walk -->"
	endOfCommand     = "e2e-end-of-command"
	// updateInterval is the least time that a reader takes between two commands.
	updateInterval = 500 * time.Millisecond
)

// step is one command of the walkthrough and the output that README.md shows.
type step struct{ command, output string }

// splitReadme returns the text before the walkthrough, the walkthrough, and the
// text after it.
func splitReadme(file string) (before, walk, after string, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", "", "", err
	}
	before, rest, begins := strings.Cut(string(text), walkthroughBegin)
	walk, after, ends := strings.Cut(rest, walkthroughEnd)
	if !begins || !ends {
		return "", "", "", fmt.Errorf("%s has no walkthrough between %q and %q", file, walkthroughBegin, walkthroughEnd)
	}
	return before, walk, after, nil
}

var consoleBlock = regexp.MustCompile("(?s)```console\n(.*?)```\n")

// parseSteps returns the steps of the console blocks: a line that begins with "$ " is
// a command, one that begins with "> " continues it, and all others are output.
func parseSteps(walk string) []*step {
	var out []*step
	for _, block := range consoleBlock.FindAllStringSubmatch(walk, -1) {
		for _, line := range strings.SplitAfter(block[1], "\n") {
			if command, ok := strings.CutPrefix(line, "$ "); ok {
				out = append(out, &step{command: command})
			} else if more, ok := strings.CutPrefix(line, "> "); ok {
				out[len(out)-1].command += more
			} else if line != "" {
				out[len(out)-1].output += line
			}
		}
	}
	return out
}

// shell is one bash process that runs all commands of the walkthrough, as a
// reader's shell does.
type shell struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Reader
}

// killJobsOnExit makes the shell kill its background jobs when it exits. The shell
// also exits if the test process ends early, because its input is closed then.
const killJobsOnExit = `trap 'kill -KILL $(jobs -p) 2>/dev/null' EXIT`

func startShell(dir string) (*shell, error) {
	s := &shell{cmd: exec.Command("bash")}
	s.cmd.Dir = dir
	in, err := s.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	s.cmd.Stderr = s.cmd.Stdout
	s.in, s.out = in, bufio.NewReader(out)
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	_, err = fmt.Fprintln(s.in, killJobsOnExit)
	return s, err
}

// close ends the shell, which kills its background jobs, and waits for it.
func (s *shell) close() {
	_ = s.in.Close()
	_ = s.cmd.Wait()
}

// run runs one command and returns its output and exit code.
func (s *shell) run(command string) (string, int, error) {
	_, err := fmt.Fprintf(s.in, "%s\necho \"\n%s $?\"\n", strings.TrimSuffix(command, "\n"), endOfCommand)
	if err != nil {
		return "", 0, err
	}
	var out strings.Builder
	for {
		line, err := s.out.ReadString('\n')
		if err != nil {
			return out.String(), 0, err
		}
		if code, ok := strings.CutPrefix(line, endOfCommand+" "); ok {
			n, err := strconv.Atoi(strings.TrimSpace(code))
			return strings.TrimSuffix(out.String(), "\n"), n, err
		}
		out.WriteString(line)
	}
}

// walkthrough runs the commands of README.md on ports chosen by the kernel instead
// of those in README.md.
type walkthrough struct {
	shell *shell
	dir   string
	// addresses maps the addresses in README.md to those in use.
	addresses map[string]string
}

var (
	addressPattern  = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	fileNamePattern = regexp.MustCompile(`examples/walk/[\w.-]+`)
	redirectPattern = regexp.MustCompile(`> (\S+) &\n$`)
)

// replaceAddresses replaces the addresses of README.md by those in use. One that
// is not in use yet gets port 0, so that the kernel chooses the port.
func (w *walkthrough) replaceAddresses(text string) string {
	return addressPattern.ReplaceAllStringFunc(text, func(a string) string {
		if known := w.addresses[a]; known != "" {
			return known
		}
		return "127.0.0.1:0"
	})
}

// prepareCommand copies the example files that a command names, with their
// addresses replaced. It returns the command with its addresses replaced and the
// addresses of README.md that appear in the command or its files for the first
// time.
func (w *walkthrough) prepareCommand(command string) (string, []string, error) {
	text := command
	for _, name := range fileNamePattern.FindAllString(command, -1) {
		data, err := os.ReadFile(filepath.Join(repoRoot, name))
		if err != nil {
			return "", nil, err
		}
		text += string(data)
		to := filepath.Join(w.dir, name)
		if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
			return "", nil, err
		}
		if err := os.WriteFile(to, []byte(w.replaceAddresses(string(data))), 0o600); err != nil {
			return "", nil, err
		}
	}
	var newAddresses []string
	for _, a := range addressPattern.FindAllString(text, -1) {
		if w.addresses[a] == "" {
			newAddresses = append(newAddresses, a)
		}
	}
	return w.replaceAddresses(command), newAddresses, nil
}

// runStep runs one step and returns its output with the addresses in use replaced
// by those of README.md.
func (w *walkthrough) runStep(s *step) (string, error) {
	command, newAddresses, err := w.prepareCommand(s.command)
	if err != nil {
		return "", err
	}
	out, code, err := w.shell.run(command)
	if err != nil || code != 0 {
		return "", fmt.Errorf("%s: exit code %d, %v: %s", s.command, code, err, out)
	}
	if log := redirectPattern.FindStringSubmatch(command); log != nil {
		if err := w.recordAddresses(filepath.Join(w.dir, log[1]), newAddresses); err != nil {
			return "", fmt.Errorf("%s: %w", s.command, err)
		}
	}
	for readme, used := range w.addresses {
		out = strings.ReplaceAll(out, used, readme)
	}
	return out, nil
}

// recordAddresses waits until a background program logs its listen addresses and
// assigns them to newAddresses. Both are in the same order, that of the
// program's arguments and settings.
func (w *walkthrough) recordAddresses(log string, newAddresses []string) error {
	fields, err := waitForListenFields(log, nil)
	if err != nil {
		return err
	}
	used := addressPattern.FindAllString(fields[fullLineKey], -1)
	if len(used) < len(newAddresses) {
		return fmt.Errorf("the program listens on %v, but its arguments and settings name %v", used, newAddresses)
	}
	for i, a := range newAddresses {
		w.addresses[a] = used[i]
	}
	return nil
}

// volatileText lists the parts of the output that differ between runs, and what
// replaces them in a comparison.
var volatileText = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}`), "UUID"},
	{regexp.MustCompile(`\b[0-9a-f]{32}\b`), "CHANGE"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`), "TIME"},
	{regexp.MustCompile(`\d+ +\d+ +[\d.]+(µs|ms|s)\n`), "LOAD\n"},
	{regexp.MustCompile(`"(incarnation|life|seq)":"?\d+"?`), `"$1":N`},
	{regexp.MustCompile(` +`), " "},
}

func normalize(text string) string {
	for _, v := range volatileText {
		text = v.pattern.ReplaceAllString(text, v.with)
	}
	return text
}

// runUntilMatch runs a step until its output matches README.md: a change made
// through one node may not have reached the other yet. With -update it runs the
// step once and takes its output.
func (w *walkthrough) runUntilMatch(s *step) error {
	if *update {
		time.Sleep(updateInterval)
		out, err := w.runStep(s)
		s.output = out
		return err
	}
	first, err := w.runStep(s)
	if err != nil {
		return err
	}
	out := first
	for deadline := time.Now().Add(waitTimeout); normalize(out) != normalize(s.output); {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: got\n%s\nREADME.md has\n%s", s.command, first, s.output)
		}
		time.Sleep(pollInterval)
		if out, err = w.runStep(s); err != nil {
			return fmt.Errorf("%w; the output of the first run was\n%s", err, first)
		}
	}
	return nil
}

// updateReadme writes the outputs of the steps into README.md.
func updateReadme(file string, done []*step) error {
	before, walk, after, err := splitReadme(file)
	if err != nil {
		return err
	}
	walk = consoleBlock.ReplaceAllStringFunc(walk, func(block string) string {
		out := "```console\n"
		for range parseSteps(block) {
			command := strings.TrimSuffix(done[0].command, "\n")
			out += "$ " + strings.ReplaceAll(command, "\n", "\n> ") + "\n" + done[0].output
			done = done[1:]
		}
		return out + "```\n"
	})
	return os.WriteFile(file, []byte(before+walkthroughBegin+walk+walkthroughEnd+after), 0o600)
}

// commandWalk implements "walk": it runs the walkthrough of README.md.
func commandWalk(ts *testscript.TestScript, neg bool, args []string) {
	file := filepath.Join(repoRoot, "README.md")
	_, walk, _, err := splitReadme(file)
	ts.Check(err)
	ts.Check(os.Mkdir(filepath.Join(ts.Getenv("WORK"), "out"), 0o700))
	sh, err := startShell(ts.Getenv("WORK"))
	ts.Check(err)
	ts.Defer(sh.close)
	w := &walkthrough{shell: sh, dir: ts.Getenv("WORK"), addresses: map[string]string{}}
	done := parseSteps(walk)
	if len(done) == 0 {
		ts.Fatalf("README.md has no commands")
	}
	for _, s := range done {
		ts.Logf("$ %s", s.command)
		ts.Check(w.runUntilMatch(s))
	}
	if *update {
		ts.Check(updateReadme(file, done))
	}
}
