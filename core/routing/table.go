// Package routing holds the routing table, which determines the services that a
// request is sent to: routes by host and path prefix, the services and the
// limits. A table is immutable; a newer version replaces it as a whole.
package routing

import (
	"strings"
	"time"

	"github.com/baobabsail/baobabsail/core/account"
	"github.com/baobabsail/baobabsail/core/api"
)

// WeightedService is a service of a route with its weight. The services of a route
// share its requests.
type WeightedService struct {
	Service api.ServiceName
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// Merge describes how the answers of the shards are combined into one answer:
// the greatest records of all answers, compared byte by byte, in descending
// order.
type Merge struct {
	// RecordBytes is the size of one record in bytes.
	RecordBytes int
	// Records is the maximum number of records in the combined answer.
	Records int
}

// Known reports whether the rule is set: a rule has records of at least one byte.
func (m Merge) Known() bool { return m.RecordBytes > 0 }

// Keeps reports whether an answer merged by m holds all records that merging it once more by
// other would keep.
func (m Merge) Keeps(other Merge) bool {
	return m.RecordBytes == other.RecordBytes && m.Records >= other.Records
}

// Route describes where the requests with a host and path prefix are sent, and
// how they may be handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Services share the requests by weight; empty if Shards is set.
	Services []WeightedService
	// Shards are the services that each receive every request; empty for a
	// route whose requests go to a single replica.
	Shards []api.ServiceName
	Merge  Merge
	// MinCoverage is the smallest fraction of the shards, from 0 to 1, whose
	// answers make a valid answer.
	MinCoverage float64
	// Idempotent is set if a request may be executed more than once.
	Idempotent bool
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// TargetLatency is the latency goal: the time within which an answer is most
	// valuable to the caller.
	TargetLatency time.Duration
	// MaxAttempts is the maximum number of replicas that a request, or each
	// part of a sharded request, may be sent to.
	MaxAttempts int
	// Priority orders requests that wait for capacity; 0 is served first.
	Priority int
	// Public is set if a request needs no key although the configuration has accounts.
	Public bool
	// HomeRegions are the only regions that requests may reach; empty for all regions.
	HomeRegions []api.Region
}

// Sharded reports whether each request is sent to all shards.
func (r *Route) Sharded() bool { return len(r.Shards) > 0 }

// Service is a service that routes may refer to.
type Service struct {
	Name api.ServiceName
	// MaxConnections is the number of connections that each replica accepts
	// from all callers together; 0 if unknown.
	MaxConnections int
	// HealthPath is the path for health checks.
	HealthPath string
	// ColdStart is how long a started replica is cold. ColdPerSecond is the number of requests
	// per second that a cold replica can take from all nodes together; 0 means no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Limits restrict what a caller may send. A zero value means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[api.ServiceName]Service
	Limits   Limits
	// Accounts holds the client accounts; nil if requests need no key.
	Accounts *account.Directory
	byHost   map[string]prefixIndex
}

// NewTable returns a table and builds its index by host.
func NewTable(version uint64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version: version, Routes: routes, Limits: limits,
		Services: make(map[api.ServiceName]Service, len(services)),
		byHost:   make(map[string]prefixIndex),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	byHost := make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		host := NormalHost(r.Host)
		byHost[host] = append(byHost[host], r)
	}
	for host, routes := range byHost {
		t.byHost[host] = newPrefixIndex(routes)
	}
	return t
}

// RouteNames returns the names of all routes.
func (t *Table) RouteNames() map[string]bool {
	names := make(map[string]bool, len(t.Routes))
	for i := range t.Routes {
		names[t.Routes[i].Name] = true
	}
	return names
}

// NormalHost returns a host name in lower case without its port.
func NormalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route of the host with the longest prefix of the path, or
// nil if there is none.
func (t *Table) Match(host, path string) *Route {
	route, _ := t.byHost[NormalHost(host)].find(path)
	return route
}
