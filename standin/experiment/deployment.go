package experiment

import (
	"fmt"
	"math"
	"strings"

	"github.com/baobabsail/baobabsail/standin/load"
	"github.com/baobabsail/baobabsail/standin/target"
)

// Log-normal service time of the targets. It is long compared with the scheduling
// delays of a busy machine that runs all processes: with 4 ms, the measured
// latencies followed the load average of the machine.
const (
	serviceMedianMS = 10
	serviceSigma    = 0.4
)

const (
	// smallServiceShards and largeServiceShards are the numbers of shards of the
	// small search services and of the large one.
	smallServiceShards = 8
	largeServiceShards = 40
	// replicasPerShard is the number of replicas that hold each shard.
	replicasPerShard = 2
	// queueLengthPerSlot is the number of requests that a target queues for each of
	// its slots.
	queueLengthPerSlot = 8
	rowsPerService     = 400
	targetSeed         = 7
	// hashSpace is the number of hash values that the shards of a service cover.
	hashSpace = 1 << 32
)

// service describes a service of a deployment.
type service struct {
	name        string
	isWork      bool
	replicas    int
	slots       int
	connections int
	connectMS   float64
	shards      int
	// settings is the part of the "create service" statement that follows the kind.
	settings string
	// coverage is the requested coverage in percent.
	coverage float64
}

// Deployment is a scaled-down version of a deployment that the design page
// describes.
type Deployment struct {
	Name        string
	DataCentres int
	// HopMS is the one-way network delay between data centres, and ClientMS the
	// one-way delay between clients and nodes.
	HopMS, ClientMS float64
	Nodes           int
	// Reductions lists what is smaller than in the deployment of the design page.
	Reductions []string
	services   []service
}

// Deployments returns the deployments that can be measured.
func Deployments() []Deployment { return []Deployment{authority(), franchise()} }

func authority() Deployment {
	const searchSettings = "deadline 500ms, coverage 100%, early return off, extra load 5%"
	const workSettings = "deadline 1s"
	d := Deployment{
		Name: "authority", DataCentres: 4, HopMS: 1, ClientMS: 1, Nodes: 8,
		Reductions: []string{"6 of 20 alarm console services", "6 of 30 work order services"},
	}
	d.addSmallServices("alarm", 6, smallServiceShards, searchSettings, 100)
	d.addSmallServices("orders", 6, 0, workSettings, 0)
	d.services = append(d.services,
		service{name: "records", replicas: 5, slots: 2, connections: 100, connectMS: 1, shards: largeServiceShards, settings: searchSettings, coverage: 100},
		service{name: "intake", isWork: true, replicas: 4, slots: 2, connections: 100, connectMS: 1, settings: workSettings})
	return d
}

func franchise() Deployment {
	// The coverage settings let a small service lack 1 of 8 shards (7 of 8 are
	// 87.5 %) and the large one 2 of 40 (38 of 40 are 95 %).
	const smallSettings = "deadline 300ms, coverage 85%, early return on, extra load 5%"
	const largeSettings = "deadline 300ms, coverage 95%, early return on, extra load 5%"
	const workSettings = "deadline 1s"
	d := Deployment{
		Name: "franchise", DataCentres: 3, HopMS: 0.5, ClientMS: 3, Nodes: 8,
		Reductions: []string{"6 of 20 dispatch desk services", "6 of 30 franchise portal services"},
	}
	d.addSmallServices("dispatch", 6, smallServiceShards, smallSettings, 85)
	d.addSmallServices("portal", 6, 0, workSettings, 0)
	d.services = append(d.services,
		service{name: "vans", replicas: 3, slots: 4, connections: 45, connectMS: 1, shards: largeServiceShards, settings: largeSettings, coverage: 95},
		service{name: "meters", isWork: true, replicas: 3, slots: 4, connections: 45, connectMS: 1, settings: workSettings})
	return d
}

// addSmallServices adds n services of 2 replicas with 2 slots each. Services
// without shards are work services, the others search services.
func (d *Deployment) addSmallServices(name string, n, shards int, settings string, coverage float64) {
	for i := range n {
		d.services = append(d.services, service{
			name: fmt.Sprintf("%s-%d", name, i+1), isWork: shards == 0, replicas: 2, slots: 2,
			connections: 25, connectMS: 6, shards: shards, settings: settings, coverage: coverage,
		})
	}
}

// capacity returns the number of searches per second that keeps every slot of a
// search service busy, or 0 for a work service.
func (s *service) capacity() float64 {
	if s.isWork {
		return 0
	}
	mean := serviceMedianMS * math.Exp(serviceSigma*serviceSigma/2) / 1000
	return float64(s.replicas*s.slots) / mean / float64(s.shards)
}

// Capacity returns the total capacity of the search services in searches per second.
func (d *Deployment) Capacity() float64 {
	sum := 0.0
	for i := range d.services {
		sum += d.services[i].capacity()
	}
	return sum
}

// replica returns the name of replica i.
func (s *service) replica(i int) string { return fmt.Sprintf("%s-%c", s.name, 'a'+i) }

// holds reports whether a replica holds a shard.
func (s *service) holds(replica, shard int) bool {
	for c := range replicasPerShard {
		if (shard+c)%s.replicas == replica {
			return true
		}
	}
	return false
}

// shardRange returns the inclusive hash range of shard i.
func (s *service) shardRange(i int) (first, last uint32) {
	start := func(k int) uint64 { return uint64(k) * hashSpace / uint64(s.shards) }
	return uint32(start(i)), uint32(start(i+1) - 1)
}

// targets returns the settings of the targets of a service, one for each replica.
func (d *Deployment) targets(s *service, restartDelayMS float64) []target.Settings {
	out := make([]target.Settings, s.replicas)
	for i := range out {
		out[i] = target.Settings{
			Name: s.replica(i), Listen: "127.0.0.1:0", Service: s.name, Seed: targetSeed, Rows: rowsPerService,
			Versions: []uint64{1}, KeepVersions: 2, Slots: s.slots, Queue: queueLengthPerSlot * s.slots,
			Connections: s.connections, ConnectDelayMS: s.connectMS, NetworkDelayMS: 2 * d.HopMS,
			ServiceTime:    target.ServiceTime{MedianMS: serviceMedianMS, Sigma: serviceSigma},
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

// statements returns the configuration statements that create the deployment.
// addresses maps the names of replicas to the addresses of their targets.
func (d *Deployment) statements(addresses map[string]string) string {
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for i := range d.services {
		s := &d.services[i]
		kind := "search"
		if s.isWork {
			kind = "work"
		}
		add("create service %s kind %s %s", s.name, kind, s.settings)
		for r := range s.replicas {
			name := s.replica(r)
			add("create replica %s of %s address %s data centre %s vm vm-%s slots %d connections %d",
				name, s.name, addresses[name], d.dataCentre(r), name, s.slots, s.connections)
		}
		for k := range s.shards {
			first, last := s.shardRange(k)
			var holders []string
			for r := range s.replicas {
				if s.holds(r, k) {
					holders = append(holders, s.replica(r))
				}
			}
			add("create shard %s of %s range %d to %d on %s", shardName(k), s.name, first, last, strings.Join(holders, ", "))
		}
	}
	return strings.Join(lines, ";\n")
}

// dataCentre assigns node or replica i to a data centre in rotation.
func (d *Deployment) dataCentre(i int) string { return fmt.Sprintf("dc-%c", 'a'+i%d.DataCentres) }

// workRate is the total number of work orders per second for all work services.
const workRate = 20

// requests returns the weighted request mix and the total request rate for a load
// that is the given share of the capacity. Each search service gets the same share
// of its own capacity. distinct is the number of different searches of a service;
// each node sends each of them through a canary once.
func (d *Deployment) requests(share float64, distinct int) (requests []load.Request, rate float64) {
	workServices := 0
	for i := range d.services {
		if d.services[i].isWork {
			workServices++
		}
	}
	for i := range d.services {
		s := &d.services[i]
		r := load.Request{Weight: s.capacity() * share, Distinct: distinct}
		if s.isWork {
			r.Weight = workRate / float64(workServices)
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

// searchReplicas returns the names of the replicas of all search services: the
// first replica of each service, then the second of each, and so on.
func (d *Deployment) searchReplicas() []string {
	var out []string
	for r := range 26 {
		for i := range d.services {
			if s := &d.services[i]; !s.isWork && r < s.replicas {
				out = append(out, s.replica(r))
			}
		}
	}
	return out
}
