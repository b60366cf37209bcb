// Package routing holds the table that says which service a request goes to:
// routes by host and path prefix, the services and their limits. A table is
// immutable; a newer version replaces it as a whole.
package routing

import (
	"strings"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Weighted is one of several services that share the requests of a route.
type Weighted struct {
	Service api.ServiceName
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// Merge says how the parts of a sharded route become one answer: the greatest
// records of all parts, compared byte by byte, greatest first.
type Merge struct {
	// RecordBytes is the size of one record.
	RecordBytes int
	// Records is the largest number of records in the answer.
	Records int
}

// Route says where requests of a host and path prefix go and how they may be
// treated.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Services share the requests by weight; empty if Shards is set.
	Services []Weighted
	// Shards are the services that each get every request; empty for a route
	// to a single replica.
	Shards []api.ServiceName
	Merge  Merge
	// MinCoverage is the smallest share of the shards, from 0 to 1, that makes
	// an answer.
	MinCoverage float64
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer is worth most.
	Target time.Duration
	// MaxAttempts is the largest number of replicas that a request, or each
	// part of it, may be sent to.
	MaxAttempts int
	// Priority orders requests that wait for room; 0 goes first.
	Priority int
}

// Sharded reports whether requests go to all shards.
func (r *Route) Sharded() bool { return len(r.Shards) > 0 }

// Service is one service that routes may name.
type Service struct {
	Name api.ServiceName
	// MaxConnections is the number of connections that each replica accepts
	// from all callers together; 0 if unknown.
	MaxConnections int
	// HealthPath answers health checks.
	HealthPath string
}

// Limits bound what a caller may send. Zero values mean no limit.
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
	byHost   map[string][]*Route
}

// NewTable returns a table with its index built.
func NewTable(version uint64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version: version, Routes: routes, Limits: limits,
		Services: make(map[api.ServiceName]Service, len(services)),
		byHost:   make(map[string][]*Route),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := NormalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	return t
}

// NormalHost returns a host name in lower case without its port.
func NormalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route of the host with the longest prefix that begins the
// path; nil if there is none.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.byHost[NormalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}
