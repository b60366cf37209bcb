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

var update = flag.Bool("update", false, "write the output of the walk into README.md")

const (
	root      = "../.."
	walkBegin = "<!-- walk -->"
	walkEnd   = "<!-- end of walk -->"
	endOfRun  = "e2e-end-of-command"
	// updatePause is the time that a reader takes between two commands, at least.
	updatePause = 500 * time.Millisecond
)

// step is one command of the walk with the output that README.md shows.
type step struct{ command, output string }

// walkText returns README.md up to the walk, the walk, and the rest.
func walkText(file string) (before, walk, after string, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", "", "", err
	}
	before, rest, begins := strings.Cut(string(text), walkBegin)
	walk, after, ends := strings.Cut(rest, walkEnd)
	if !begins || !ends {
		return "", "", "", fmt.Errorf("%s has no walk between %q and %q", file, walkBegin, walkEnd)
	}
	return before, walk, after, nil
}

var consoleBlock = regexp.MustCompile("(?s)```console\n(.*?)```\n")

// steps reads the console blocks: a line that begins with "$ " is a command, "> "
// continues it, all others are output.
func steps(walk string) []*step {
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

// shell is one bash that runs the commands of the walk, as a reader's does.
type shell struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Reader
}

// endJobs ends what the shell started and has not waited for. It also runs if
// the test process ends early, since the shell's input ends then.
const endJobs = `trap 'kill -KILL $(jobs -p) 2>/dev/null' EXIT`

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
	_, err = fmt.Fprintln(s.in, endJobs)
	return s, err
}

// close ends the shell and every process that it started.
func (s *shell) close() {
	_ = s.in.Close()
	_ = s.cmd.Wait()
}

// run runs one command and returns its output and exit code.
func (s *shell) run(command string) (string, int, error) {
	_, err := fmt.Fprintf(s.in, "%s\necho \"\n%s $?\"\n", strings.TrimSuffix(command, "\n"), endOfRun)
	if err != nil {
		return "", 0, err
	}
	var out strings.Builder
	for {
		line, err := s.out.ReadString('\n')
		if err != nil {
			return out.String(), 0, err
		}
		if code, ok := strings.CutPrefix(line, endOfRun+" "); ok {
			n, err := strconv.Atoi(strings.TrimSpace(code))
			return strings.TrimSuffix(out.String(), "\n"), n, err
		}
		out.WriteString(line)
	}
}

// walker runs the walk with ports of the kernel in place of those of README.md.
type walker struct {
	shell *shell
	dir   string
	// ports maps the addresses of README.md to those in use.
	ports map[string]string
}

var (
	address  = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	fileName = regexp.MustCompile(`examples/walk/[\w.-]+`)
	redirect = regexp.MustCompile(`> (\S+) &\n$`)
)

// translate replaces the known addresses; unknown ones get port 0.
func (w *walker) translate(text string) string {
	return address.ReplaceAllStringFunc(text, func(a string) string {
		if known := w.ports[a]; known != "" {
			return known
		}
		return "127.0.0.1:0"
	})
}

// prepare writes the files that a command names with the addresses in use, and
// returns the command and the addresses that it introduces.
func (w *walker) prepare(command string) (string, []string, error) {
	text := command
	for _, name := range fileName.FindAllString(command, -1) {
		data, err := os.ReadFile(filepath.Join(root, name))
		if err != nil {
			return "", nil, err
		}
		text += string(data)
		to := filepath.Join(w.dir, name)
		if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
			return "", nil, err
		}
		if err := os.WriteFile(to, []byte(w.translate(string(data))), 0o600); err != nil {
			return "", nil, err
		}
	}
	var introduced []string
	for _, a := range address.FindAllString(text, -1) {
		if w.ports[a] == "" {
			introduced = append(introduced, a)
		}
	}
	return w.translate(command), introduced, nil
}

// do runs one step and returns its output with the addresses of README.md.
func (w *walker) do(s *step) (string, error) {
	command, introduced, err := w.prepare(s.command)
	if err != nil {
		return "", err
	}
	out, code, err := w.shell.run(command)
	if err != nil || code != 0 {
		return "", fmt.Errorf("%s: exit code %d, %v: %s", s.command, code, err, out)
	}
	if log := redirect.FindStringSubmatch(command); log != nil {
		if err := w.started(filepath.Join(w.dir, log[1]), introduced); err != nil {
			return "", fmt.Errorf("%s: %w", s.command, err)
		}
	}
	for readme, used := range w.ports {
		out = strings.ReplaceAll(out, used, readme)
	}
	return out, nil
}

// started waits for a program in the background. It says where it listens in the
// order in which its arguments and settings introduce the addresses.
func (w *walker) started(log string, introduced []string) error {
	pairs, err := waitListening(log, nil)
	if err != nil {
		return err
	}
	used := address.FindAllString(pairs[wholeLine], -1)
	if len(used) < len(introduced) {
		return fmt.Errorf("the program listens at %v, its settings name %v", used, introduced)
	}
	for i, a := range introduced {
		w.ports[a] = used[i]
	}
	return nil
}

// varying is what differs between two runs of the walk.
var varying = []struct {
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

func comparable(text string) string {
	for _, v := range varying {
		text = v.pattern.ReplaceAllString(text, v.with)
	}
	return text
}

// repeat runs a step until its output is that of README.md: what one node has
// done may not have reached the other yet.
func (w *walker) repeat(s *step) error {
	if *update {
		time.Sleep(updatePause)
		out, err := w.do(s)
		s.output = out
		return err
	}
	first, err := w.do(s)
	if err != nil {
		return err
	}
	out := first
	for limit := time.Now().Add(patience); comparable(out) != comparable(s.output); {
		if time.Now().After(limit) {
			return fmt.Errorf("%s: got\n%s\nREADME.md has\n%s", s.command, first, s.output)
		}
		time.Sleep(pause)
		if out, err = w.do(s); err != nil {
			return fmt.Errorf("%w; the first output was\n%s", err, first)
		}
	}
	return nil
}

// rewrite puts the outputs of the steps into README.md.
func rewrite(file string, done []*step) error {
	before, walk, after, err := walkText(file)
	if err != nil {
		return err
	}
	walk = consoleBlock.ReplaceAllStringFunc(walk, func(block string) string {
		out := "```console\n"
		for range steps(block) {
			command := strings.TrimSuffix(done[0].command, "\n")
			out += "$ " + strings.ReplaceAll(command, "\n", "\n> ") + "\n" + done[0].output
			done = done[1:]
		}
		return out + "```\n"
	})
	return os.WriteFile(file, []byte(before+walkBegin+walk+walkEnd+after), 0o600)
}

// commandWalk is the script command "walk": it runs the walk of README.md.
func commandWalk(ts *testscript.TestScript, neg bool, args []string) {
	file := filepath.Join(root, "README.md")
	_, walk, _, err := walkText(file)
	ts.Check(err)
	ts.Check(os.Mkdir(filepath.Join(ts.Getenv("WORK"), "out"), 0o700))
	sh, err := startShell(ts.Getenv("WORK"))
	ts.Check(err)
	ts.Defer(sh.close)
	w := &walker{shell: sh, dir: ts.Getenv("WORK"), ports: map[string]string{}}
	done := steps(walk)
	if len(done) == 0 {
		ts.Fatalf("README.md has no commands")
	}
	for _, s := range done {
		ts.Logf("$ %s", s.command)
		ts.Check(w.repeat(s))
	}
	if *update {
		ts.Check(rewrite(file, done))
	}
}
