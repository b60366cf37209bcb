// Package settings reads the settings file of an entry node: JSON with comments
// and trailing commas. The whole file is checked before problems are returned,
// so that one run shows all of them. docs/settings.md describes the keys.
package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/tailscale/hujson"
)

// Settings holds the configuration of one entry node.
type Settings struct {
	Name       Name      `json:"name" required:"yes"`
	DataCentre Name      `json:"data_centre" required:"yes"`
	VM         Name      `json:"vm" required:"yes"`
	Callers    Listener  `json:"callers"`
	Operators  Listener  `json:"operators"`
	Peers      Peers     `json:"peers"`
	Platform   Platform  `json:"platform"`
	Limits     Limits    `json:"limits"`
	Shutdown   Shutdown  `json:"shutdown"`
	Telemetry  Telemetry `json:"telemetry"`
	Policy     Policy    `json:"policy"`
	LogLevel   LogLevel  `json:"log_level"`
	// Seed makes the node's random choices reproducible; 0 means a random seed at
	// start.
	Seed uint64 `json:"seed"`
}

// Listener configures one of the HTTP listeners.
type Listener struct {
	Listen ListenAddress `json:"listen" required:"yes"`
}

// Peers configures the listener for other entry nodes, and the nodes to contact
// at start.
type Peers struct {
	// Listen is also the address advertised to other nodes.
	Listen ReachableAddress `json:"listen" required:"yes"`
	List   []Peer           `json:"list"`
}

// Peer is another entry node.
type Peer struct {
	Name    Name          `json:"name" required:"yes"`
	Address RemoteAddress `json:"address" required:"yes"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Stores []URL `json:"stores" required:"yes"`
	// VMList is empty if the platform offers no list of VMs.
	VMList       URL      `json:"vm_list"`
	PollInterval Duration `json:"poll_interval"`
}

// Limits bounds the requests of callers and operators.
type Limits struct {
	MaxRequestBytes       Size     `json:"max_request_bytes"`
	MaxHeaderBytes        Size     `json:"max_header_bytes"`
	MaxConcurrentRequests Count    `json:"max_concurrent_requests"`
	ReadTimeout           Duration `json:"read_timeout"`
	// Memory and Descriptors are what the process may use; the limits of its connections and of
	// the requests on them follow from both.
	Memory      Memory `json:"memory"`
	Descriptors Count  `json:"descriptors"`
}

// Shutdown holds the time limits of a graceful shutdown.
type Shutdown struct {
	// AcceptFor is how long new requests are still served after the readiness
	// check starts to fail.
	AcceptFor Duration `json:"accept_for"`
	// TotalLimit is the time after which a shutdown is ended even if it is not
	// complete.
	TotalLimit Duration `json:"total_limit"`
}

// Telemetry configures periodic logging.
type Telemetry struct {
	CounterLogInterval Duration `json:"counter_log_interval"`
}

// Policy configures how searches treat slow parts. Values other than the defaults
// serve as baselines for measurements.
type Policy struct {
	SlowParts SlowParts `json:"slow_parts"`
	// HedgeDelay overrides the delay derived from the latency quantile if not 0.
	HedgeDelay Duration `json:"hedge_delay"`
	// Budget bounds retries and hedges.
	Budget Budget `json:"budget"`
}

// Defaults returns the settings that a file overrides.
func Defaults() *Settings {
	return &Settings{
		Platform: Platform{PollInterval: Duration(5 * time.Second)},
		Limits: Limits{
			MaxRequestBytes:       1 << 20,
			MaxHeaderBytes:        16 << 10,
			MaxConcurrentRequests: 2000,
			ReadTimeout:           Duration(5 * time.Second),
			Memory:                1 << 30,
			Descriptors:           8192,
		},
		Shutdown: Shutdown{
			// Load balancers of the platform notice a failed readiness check
			// within a few seconds.
			AcceptFor:  Duration(10 * time.Second),
			TotalLimit: Duration(60 * time.Second),
		},
		Telemetry: Telemetry{CounterLogInterval: Duration(time.Minute)},
		Policy:    Policy{SlowParts: "hedge", Budget: "bounded"},
		LogLevel:  "info",
	}
}

// Problem is one error in a settings file.
type Problem struct {
	File string
	// Line is 1 for the first line; 0 if the file could not be read.
	Line int
	// Key is the path of the key, such as "peers.list[0].address".
	Key     string
	Message string
}

// String formats the problem as "file:line: key: message".
func (p Problem) String() string {
	where := fmt.Sprintf("%s:%d", p.File, p.Line)
	if p.Key == "" {
		return where + ": " + p.Message
	}
	return where + ": " + p.Key + ": " + p.Message
}

// Load reads and checks a settings file. The settings are usable only if there
// are no problems.
func Load(path string) (*Settings, []Problem) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []Problem{{File: path, Message: err.Error()}}
	}
	return Parse(path, text)
}

// Parse checks the text of a settings file; file is its name in problems.
func Parse(file string, text []byte) (*Settings, []Problem) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, []Problem{syntaxProblem(file, err)}
	}
	s := Defaults()
	r := &reader{file: file, text: text, lines: make(map[string]int)}
	r.readRoot(root, s)
	r.checkConsistency(s)
	if len(r.problems) > 0 {
		r.sortProblems()
		return nil, r.problems
	}
	return s, nil
}

// checkConsistency checks constraints between several values.
func (r *reader) checkConsistency(s *Settings) {
	if s.Shutdown.AcceptFor > s.Shutdown.TotalLimit {
		r.addProblem(r.lineOf("shutdown.total_limit", "shutdown.accept_for"), "shutdown.total_limit",
			"is shorter than shutdown.accept_for")
	}
	r.checkDistinctListeners("operators.listen", string(s.Operators.Listen), "callers.listen", string(s.Callers.Listen))
	r.checkDistinctListeners("peers.listen", string(s.Peers.Listen), "callers.listen", string(s.Callers.Listen))
	r.checkDistinctListeners("peers.listen", string(s.Peers.Listen), "operators.listen", string(s.Operators.Listen))
	seen := make(map[Name]bool)
	for i, p := range s.Peers.List {
		key := fmt.Sprintf("peers.list[%d].name", i)
		if p.Name != "" && seen[p.Name] {
			r.addProblem(r.lineOf(key), key, "names a peer that is listed before")
		}
		seen[p.Name] = true
	}
}

// checkDistinctListeners adds a problem if two listeners have the same address. With
// port 0 the kernel chooses a free port, so that they cannot collide.
func (r *reader) checkDistinctListeners(key, address, otherKey, other string) {
	if address == "" || address != other || portOf(address) == "0" {
		return
	}
	r.addProblem(r.lineOf(key), key, "is the same address as "+otherKey)
}
