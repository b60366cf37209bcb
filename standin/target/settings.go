package target

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/baobabsail/baobabsail/standin/internal/jsonfile"
)

// Shard is a shard that a target holds in one epoch of the partition map.
type Shard struct {
	Epoch uint64 `json:"epoch"`
	Name  string `json:"name"`
	// First and Last are the inclusive ends of the hash range.
	First uint32 `json:"first"`
	Last  uint32 `json:"last"`
	// Versions lists the index versions of this shard; if it is empty, the target's
	// versions apply.
	Versions []uint64 `json:"versions,omitempty"`
}

// EvenShards divides the hash range into Count shards of equal size, named s000,
// s001 and so on. The target holds shards From to To-1; To 0 means Count.
type EvenShards struct {
	Epoch uint64 `json:"epoch"`
	Count int    `json:"count"`
	From  int    `json:"from"`
	To    int    `json:"to"`
}

// shards returns the shards that the target holds.
func (e *EvenShards) shards() []Shard {
	const hashRangeSize = 1 << 32
	boundary := func(i int) uint64 { return uint64(i) * hashRangeSize / uint64(e.Count) }
	var out []Shard
	for i := e.From; i < e.To; i++ {
		out = append(out, Shard{Epoch: e.Epoch, Name: fmt.Sprintf("s%03d", i), First: uint32(boundary(i)), Last: uint32(boundary(i+1) - 1)})
	}
	return out
}

// allShards returns the listed shards and the evenly divided ones.
func (s *Settings) allShards() []Shard {
	if s.EvenShards == nil {
		return s.Shards
	}
	return append(slices.Clone(s.Shards), s.EvenShards.shards()...)
}

// ServiceTime is the distribution of the time that a request holds a slot:
// log-normal, with a share of stragglers whose time is multiplied by a factor.
type ServiceTime struct {
	MedianMS        float64 `json:"median_ms"`
	Sigma           float64 `json:"sigma"`
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
}

// ColdStart slows down a newly started target: the service time is multiplied by a
// factor that falls linearly to 1 over the duration.
type ColdStart struct {
	DurationMS float64 `json:"duration_ms"`
	Factor     float64 `json:"factor"`
}

// Settings describes one target.
type Settings struct {
	Name string `json:"name"`
	// Listen is the address of the gRPC listener; port 0 lets the kernel choose a port.
	Listen  string `json:"listen"`
	Service string `json:"service"`
	// Seed determines the sample data and the service times.
	Seed uint64 `json:"seed"`
	// Rows is the row count of the whole service, over all shards.
	Rows   int     `json:"rows"`
	Shards []Shard `json:"shards"`
	// EvenShards adds shards of an evenly divided hash range to Shards; nil adds none.
	EvenShards *EvenShards `json:"even_shards,omitempty"`
	// Versions lists the index versions at the start, in ascending order.
	Versions []uint64 `json:"versions"`
	// KeepVersions is the number of versions kept when a version is added.
	KeepVersions int `json:"keep_versions"`
	// Slots is the maximum number of requests that run at once, Queue the maximum
	// number that wait for a slot.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// Connections is the maximum number of open connections; 0 means no limit.
	Connections int `json:"connections"`
	// ConnectDelayMS is the time from accepting a connection to its first byte.
	ConnectDelayMS float64 `json:"connect_delay_ms"`
	// NetworkDelayMS is the simulated network round trip of a search or work order.
	// The request holds no slot during this time.
	NetworkDelayMS float64 `json:"network_delay_ms"`
	// RetryAfterMS is the retry delay sent with answers that shed load.
	RetryAfterMS uint32      `json:"retry_after_ms"`
	ServiceTime  ServiceTime `json:"service_time"`
	ColdStart    ColdStart   `json:"cold_start"`
	// RestartDelayMS is the time between a crash and the next start in the
	// same process.
	RestartDelayMS float64 `json:"restart_delay_ms"`
	// SearchJournal is the maximum number of started searches kept in memory.
	SearchJournal int `json:"search_journal"`
	// WorkJournalFile receives one JSON line per work order before it runs, so
	// that the entries survive the end of the process; empty disables the file.
	WorkJournalFile string `json:"work_journal_file"`
	// OnCrash, if set, is called on a crash instead of the restart within the
	// process; the program exits in it.
	OnCrash func() `json:"-"`
}

// FileSettings is the settings file of a process with one or more targets.
type FileSettings struct {
	// Admin is the address of the admin listener.
	Admin   string     `json:"admin"`
	Targets []Settings `json:"targets"`
}

// ReadSettings reads a settings file in JSON with comments.
func ReadSettings(path string) (FileSettings, error) {
	out, err := jsonfile.Read[FileSettings](path)
	if err != nil {
		return out, ErrSettings.Wrap(err, "read settings")
	}
	return out, nil
}

func (s *Settings) setDefaults() {
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	if s.KeepVersions == 0 {
		s.KeepVersions = 2
	}
	if s.Slots == 0 {
		s.Slots = 2
	}
	if s.RetryAfterMS == 0 {
		s.RetryAfterMS = 20
	}
	if s.SearchJournal == 0 {
		s.SearchJournal = 100_000
	}
	if len(s.Versions) == 0 {
		s.Versions = []uint64{1}
	}
	if e := s.EvenShards; e != nil && e.To == 0 {
		e.To = e.Count
	}
}

func (s *Settings) validate() error {
	var problems []string
	check := func(ok bool, text string) {
		if !ok {
			problems = append(problems, text)
		}
	}
	check(s.Name != "", "name is empty")
	check(s.Service != "", "service is empty")
	check(s.Slots > 0, "slots must be positive")
	check(s.Queue >= 0 && s.Connections >= 0 && s.Rows >= 0, "queue, connections and rows must not be negative")
	check(s.KeepVersions > 0, "keep_versions must be positive")
	check(!slices.Contains(s.Versions, 0), "version 0 is reserved for the newest version")
	check(validServiceTime(s.ServiceTime), "service_time must not be negative and straggler_share must be at most 1")
	check(s.ConnectDelayMS >= 0 && s.NetworkDelayMS >= 0 && s.RestartDelayMS >= 0 && s.ColdStart.DurationMS >= 0, "delays must not be negative")
	if e := s.EvenShards; e != nil {
		check(e.Epoch > 0 && 0 <= e.From && e.From < e.To && e.To <= e.Count, "even_shards needs an epoch above 0 and 0 <= from < to <= count")
	}
	for _, shard := range s.Shards {
		check(shard.Name != "" && shard.Epoch > 0, "a shard needs a name and an epoch above 0")
		check(shard.First <= shard.Last, "shard "+shard.Name+" has its first hash after its last")
	}
	if len(problems) > 0 {
		return ErrSettings.New("target %q: %s", s.Name, strings.Join(problems, "; "))
	}
	return nil
}

func validServiceTime(t ServiceTime) bool {
	return t.MedianMS >= 0 && t.Sigma >= 0 && t.StragglerFactor >= 0 && t.StragglerShare >= 0 && t.StragglerShare <= 1
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
