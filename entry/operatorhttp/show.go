package operatorhttp

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/node"
	"github.com/baobabsail/baobabsail/entry/driver"
	"github.com/baobabsail/baobabsail/lang"
)

// runShow runs a show statement. The configuration document is immutable, so it can
// be read outside the node's goroutine.
func (s *server) runShow(ctx context.Context, statement lang.Show) Result {
	var doc *config.Document
	var status node.Status
	err := s.Node.Inspect(ctx, func(n driver.Node, now time.Time) {
		doc = n.Document()
		status = n.Status(now)
	})
	if err != nil {
		return Result{Outcome: Refused, Reason: api.ReasonShuttingDown}
	}
	if statement.Subject == lang.ShowStatus {
		return showStatus(status)
	}
	if doc == nil {
		return Result{Outcome: Refused, Reason: api.ReasonNoConfiguration}
	}
	if statement.Service != "" && doc.Services[statement.Service] == nil {
		return Result{
			Outcome: Invalid, Reason: api.ReasonUnknownService,
			Message: "service " + string(statement.Service) + " does not exist",
		}
	}
	switch statement.Subject {
	case lang.ShowServices:
		return showServices(doc, slices.Sorted(maps.Keys(doc.Services)))
	case lang.ShowService:
		return showServices(doc, []api.ServiceName{statement.Service})
	case lang.ShowReplicas:
		return showReplicas(doc, statement.Service, status.Replicas)
	case lang.ShowShards:
		return showShards(doc.Services[statement.Service])
	case lang.ShowHistory:
		return showHistory(doc, statement.Limit)
	case lang.ShowConfiguration:
		return showConfiguration(doc)
	}
	return Result{Outcome: Invalid, Message: "report " + string(statement.Subject) + " is not known"}
}

// showServices returns one row for each of the named services.
func showServices(doc *config.Document, names []api.ServiceName) Result {
	replicas := make(map[api.ServiceName]int)
	for _, r := range doc.Replicas {
		replicas[r.Service]++
	}
	result := Result{Outcome: OK, Columns: []string{
		"service", "kind", "epoch", "shards", "replicas", "deadline", "coverage",
		"early return", "extra load", "canary", "max rows",
	}}
	for _, name := range names {
		service := doc.Services[name]
		epoch, shards := newestPartitionMap(service)
		rule := service.Rule
		result.Rows = append(result.Rows, []string{
			string(name), string(service.Kind), epoch, strconv.Itoa(len(shards)), strconv.Itoa(replicas[name]),
			rule.Deadline.String(), formatShare(rule.Coverage), strconv.FormatBool(rule.EarlyReturn),
			formatShare(rule.ExtraLoad), strconv.FormatBool(rule.Canary), strconv.Itoa(rule.MaxRows),
		})
	}
	return result
}

// newestPartitionMap returns the epoch and the shards of the service's newest
// partition map, or "" and nil if the service has none.
func newestPartitionMap(service *config.Service) (epoch string, shards []config.Shard) {
	if len(service.Maps) == 0 {
		return "", nil
	}
	newest := service.Maps[len(service.Maps)-1]
	return formatUint(newest.Epoch), newest.Shards
}

// showReplicas returns one row for each replica of the service, or for each replica
// if service is empty: its configuration and its status at this node.
func showReplicas(doc *config.Document, service api.ServiceName, statuses []node.ReplicaStatus) Result {
	statusByName := make(map[api.ReplicaName]node.ReplicaStatus)
	for _, r := range statuses {
		statusByName[r.Name] = r
	}
	result := Result{Outcome: OK, Columns: []string{
		"replica", "service", "address", "data centre", "vm", "slots", "connections", "drained",
		"usable", "draining", "open", "in flight", "latency",
	}}
	for _, name := range slices.Sorted(maps.Keys(doc.Replicas)) {
		r := doc.Replicas[name]
		if service != "" && r.Service != service {
			continue
		}
		current := statusByName[name]
		result.Rows = append(result.Rows, []string{
			string(name), string(r.Service), r.Address, string(r.DataCentre), string(r.VM),
			strconv.Itoa(r.Slots), strconv.Itoa(r.Connections), strconv.FormatBool(r.Drained),
			strconv.FormatBool(current.Usable), strconv.FormatBool(current.Draining),
			strconv.Itoa(current.Connections), strconv.Itoa(current.InFlight), current.Latency.String(),
		})
	}
	return result
}

// showShards returns one row for each shard of the newest partition map.
func showShards(service *config.Service) Result {
	result := Result{Outcome: OK, Columns: []string{"epoch", "shard", "first", "last", "replicas"}}
	epoch, shards := newestPartitionMap(service)
	for _, s := range shards {
		result.Rows = append(result.Rows, []string{
			epoch, string(s.Name), formatUint(uint64(s.First)), formatUint(uint64(s.Last)), joinNames(s.Replicas),
		})
	}
	return result
}

// showHistory returns the changes, newest first, at most limit; limit 0 means all.
func showHistory(doc *config.Document, limit int) Result {
	result := Result{Outcome: OK, Columns: []string{"revision", "when", "who", "why", "change", "text"}}
	for _, c := range slices.Backward(doc.History) {
		if limit > 0 && len(result.Rows) == limit {
			break
		}
		result.Rows = append(result.Rows, []string{
			formatUint(c.Revision), c.When.UTC().Format(time.RFC3339), c.Who, c.Why, string(c.ID), c.Text,
		})
	}
	return result
}

// showStatus returns the status of the node as rows of name and value.
func showStatus(s node.Status) Result {
	return Result{Outcome: OK, Columns: []string{"what", "value"}, Rows: [][]string{
		{"name", string(s.Name)},
		{"life", formatLife(s.Life)},
		{"generation", formatUint(s.Generation)},
		{"revision", formatUint(s.Revision)},
		{"configuration age", s.ConfigAge.String()},
		{"configuration alarm", string(s.ConfigAlarm)},
		{"members", joinNames(s.Members)},
		{"replicas", strconv.Itoa(len(s.Replicas))},
		{"in flight", strconv.Itoa(s.InFlight)},
		{"shutting down", strconv.FormatBool(s.ShuttingDown)},
	}}
}

// showConfiguration returns the encoded configuration document.
func showConfiguration(doc *config.Document) Result {
	encoded, err := config.Encode(doc)
	if err != nil {
		return Result{Outcome: Failed, Message: err.Error()}
	}
	return Result{Outcome: OK, Document: encoded}
}
