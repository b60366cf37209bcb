package experiment

import (
	"fmt"
	"math"
	"strings"

	"github.com/baobabsail/baobabsail/standin/load"
	"github.com/baobabsail/baobabsail/standin/target"
)

// Service time of the targets: log-normal. It is long against the delays of a busy
// machine with all processes on it: at 4 ms, the latencies followed the load
// average of the machine.
const (
	medianMS = 10
	sigma    = 0.4
)

const (
	// smallShards and wideShards are the shards of the small search services and
	// of the larger one.
	smallShards = 8
	wideShards  = 40
	// copies is the number of replicas that hold a shard.
	copies = 2
	// queuePerSlot is the queue of a target for each of its slots.
	queuePerSlot = 8
	rowsOfSearch = 400
	targetSeed   = 7
	// hashes is the number of hashes that the shards of a service cover.
	hashes = 1 << 32
)

// service is one service of a deployment.
type service struct {
	name        string
	work        bool
	replicas    int
	slots       int
	connections int
	connectMS   float64
	shards      int
	// rule is the text of the settings in the statement that creates it.
	rule string
	// coverage is the wanted share in percent.
	coverage float64
}

// Deployment is one of the current deployments of the design page, scaled down.
type Deployment struct {
	Name        string
	DataCentres int
	// HopMS is the delay between data centres, ClientMS that to clients, each
	// one way.
	HopMS, ClientMS float64
	Nodes           int
	// Scaled says what is smaller than in the design page.
	Scaled   []string
	services []service
}

// Deployments returns the deployments that can be measured.
func Deployments() []Deployment { return []Deployment{authority(), franchise()} }

func authority() Deployment {
	const searchRule = "deadline 500ms, coverage 100%, early return off, extra load 5%"
	const workRule = "deadline 1s"
	d := Deployment{
		Name: "authority", DataCentres: 4, HopMS: 1, ClientMS: 1, Nodes: 8,
		Scaled: []string{"6 of 20 alarm console services", "6 of 30 work order services"},
	}
	d.small("alarm", 6, smallShards, searchRule, 100)
	d.small("orders", 6, 0, workRule, 0)
	d.services = append(d.services,
		service{name: "records", replicas: 5, slots: 2, connections: 100, connectMS: 1, shards: wideShards, rule: searchRule, coverage: 100},
		service{name: "intake", work: true, replicas: 4, slots: 2, connections: 100, connectMS: 1, rule: workRule})
	return d
}

func franchise() Deployment {
	// 7 of 8 shards are 87.5 %, 38 of 40 are 95 %.
	const smallRule = "deadline 300ms, coverage 85%, early return on, extra load 5%"
	const wideRule = "deadline 300ms, coverage 95%, early return on, extra load 5%"
	const workRule = "deadline 1s"
	d := Deployment{
		Name: "franchise", DataCentres: 3, HopMS: 0.5, ClientMS: 3, Nodes: 8,
		Scaled: []string{"6 of 20 dispatch desk services", "6 of 30 franchise portal services"},
	}
	d.small("dispatch", 6, smallShards, smallRule, 85)
	d.small("portal", 6, 0, workRule, 0)
	d.services = append(d.services,
		service{name: "vans", replicas: 3, slots: 4, connections: 45, connectMS: 1, shards: wideShards, rule: wideRule, coverage: 95},
		service{name: "meters", work: true, replicas: 3, slots: 4, connections: 45, connectMS: 1, rule: workRule})
	return d
}

// small adds services of 2 replicas with 2 slots; without shards they take work
// orders.
func (d *Deployment) small(name string, n, shards int, rule string, coverage float64) {
	for i := range n {
		d.services = append(d.services, service{
			name: fmt.Sprintf("%s-%d", name, i+1), work: shards == 0, replicas: 2, slots: 2,
			connections: 25, connectMS: 6, shards: shards, rule: rule, coverage: coverage,
		})
	}
}

// capacity is the number of searches per second that keeps every slot of a
// search service busy; 0 for other services.
func (s *service) capacity() float64 {
	if s.work {
		return 0
	}
	mean := medianMS * math.Exp(sigma*sigma/2) / 1000
	return float64(s.replicas*s.slots) / mean / float64(s.shards)
}

// Capacity is that of all search services together, in searches per second.
func (d *Deployment) Capacity() float64 {
	sum := 0.0
	for i := range d.services {
		sum += d.services[i].capacity()
	}
	return sum
}

func (s *service) replica(i int) string { return fmt.Sprintf("%s-%c", s.name, 'a'+i) }

// holds reports whether a replica holds a shard.
func (s *service) holds(replica, shard int) bool {
	for c := range copies {
		if (shard+c)%s.replicas == replica {
			return true
		}
	}
	return false
}

func (s *service) shardRange(i int) (first, last uint32) {
	at := func(k int) uint64 { return uint64(k) * hashes / uint64(s.shards) }
	return uint32(at(i)), uint32(at(i+1) - 1)
}

// targets returns the settings of a service's targets.
func (d *Deployment) targets(s *service, restartDelayMS float64) []target.Settings {
	out := make([]target.Settings, s.replicas)
	for i := range out {
		out[i] = target.Settings{
			Name: s.replica(i), Listen: "127.0.0.1:0", Service: s.name, Seed: targetSeed, Rows: rowsOfSearch,
			Versions: []uint64{1}, KeepVersions: 2, Slots: s.slots, Queue: queuePerSlot * s.slots,
			Connections: s.connections, ConnectDelayMS: s.connectMS, NetworkDelayMS: 2 * d.HopMS,
			ServiceTime:    target.ServiceTime{MedianMS: medianMS, Sigma: sigma},
			ColdStart:      target.ColdStart{DurationMS: 1000, Factor: 3},
			RestartDelayMS: restartDelayMS, SearchJournal: 1,
		}
		for k := range s.shards {
			if s.holds(i, k) {
				first, last := s.shardRange(k)
				out[i].Shards = append(out[i].Shards, target.Shard{Epoch: 1, Name: shardName(k), First: first, Last: last})
			}
		}
	}
	return out
}

func shardName(i int) string { return fmt.Sprintf("s%02d", i) }

// statements returns the change that creates the deployment. addresses maps
// replicas to the addresses of their targets.
func (d *Deployment) statements(addresses map[string]string) string {
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for i := range d.services {
		s := &d.services[i]
		kind := "search"
		if s.work {
			kind = "work"
		}
		add("create service %s kind %s %s", s.name, kind, s.rule)
		for r := range s.replicas {
			name := s.replica(r)
			add("create replica %s of %s address %s data centre %s vm vm-%s slots %d connections %d",
				name, s.name, addresses[name], d.dataCentre(r), name, s.slots, s.connections)
		}
		for k := range s.shards {
			first, last := s.shardRange(k)
			var on []string
			for r := range s.replicas {
				if s.holds(r, k) {
					on = append(on, s.replica(r))
				}
			}
			add("create shard %s of %s range %d to %d on %s", shardName(k), s.name, first, last, strings.Join(on, ", "))
		}
	}
	return strings.Join(lines, ";\n")
}

func (d *Deployment) dataCentre(i int) string { return fmt.Sprintf("dc-%c", 'a'+i%d.DataCentres) }

// workRate is the number of work orders per second of all services together.
const workRate = 20

// requests returns the mix at a share of the capacity. Each search service gets
// the same share of its own capacity. distinct is the number of different
// searches of a service: each is sent through a canary once by each node.
func (d *Deployment) requests(share float64, distinct int) (requests []load.Request, rate float64) {
	works := 0
	for i := range d.services {
		if d.services[i].work {
			works++
		}
	}
	for i := range d.services {
		s := &d.services[i]
		r := load.Request{Weight: s.capacity() * share, Distinct: distinct}
		if s.work {
			r.Weight = workRate / float64(works)
			r.Work = &load.WorkBody{Service: s.name, Payload: "order {n}"}
		} else {
			r.Search = &load.SearchBody{Service: s.name, Limit: 20, OrderBy: "number",
				Conditions: []load.Condition{{Field: "number", Operator: ">", Value: "{n}"}}}
		}
		requests = append(requests, r)
		rate += r.Weight
	}
	return requests, rate
}

// searchReplicas returns the replicas of all search services, the first of each
// service before the second of any.
func (d *Deployment) searchReplicas() []string {
	var out []string
	for r := range 26 {
		for i := range d.services {
			if s := &d.services[i]; !s.work && r < s.replicas {
				out = append(out, s.replica(r))
			}
		}
	}
	return out
}
