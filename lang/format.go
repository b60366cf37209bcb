package lang

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

var (
	bareName    = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_.-]*$`)
	bareAddress = regexp.MustCompile(`^(\d{1,3}\.\d{1,3}\.\d{1,3}\.\d{1,3}|\[[0-9A-Fa-f:.]+\]):\d+$`)
)

// Format returns the text of a script. Parsing the text gives an equal script, except
// that the Pin of a search has no text form and is omitted.
func Format(s *Script) string {
	var parts []string
	if s.Expected != nil {
		parts = append(parts, "expect revision "+strconv.FormatUint(*s.Expected, 10))
	}
	if s.Why != "" {
		parts = append(parts, "because "+strconv.Quote(s.Why))
	}
	for _, st := range s.Statements {
		parts = append(parts, FormatStatement(st))
	}
	return strings.Join(parts, ";\n")
}

// FormatStatement returns the text of one statement.
func FormatStatement(st Statement) string {
	switch s := st.(type) {
	case Search:
		return FormatSearch(s)
	case Explain:
		return "explain " + FormatSearch(s.Search)
	case Show:
		return formatShow(s)
	case Change:
		return FormatOp(s.Op)
	}
	return ""
}

// FormatOps returns the text of a list of operations.
func FormatOps(ops []config.Op) string {
	parts := make([]string, len(ops))
	for i, op := range ops {
		parts[i] = FormatOp(op)
	}
	return strings.Join(parts, ";\n")
}

// FormatSearch returns the text of a search.
func FormatSearch(s Search) string {
	q := s.Search.Query
	out := "search " + quoteName(q.Service)
	for i, c := range q.Conditions {
		word := " and "
		if i == 0 {
			word = " where "
		}
		out += word + quoteName(c.Field) + " " + operatorText(c.Operator) + " " + strconv.Quote(c.Value)
	}
	if q.OrderBy != "" {
		out += " order by " + quoteName(q.OrderBy)
		if q.Descending {
			out += " desc"
		}
	}
	if q.Limit != 0 {
		out += fmt.Sprintf(" limit %d", q.Limit)
	}
	if s.Deadline != 0 {
		out += " deadline " + s.Deadline.String()
	}
	if s.Search.Coverage != 0 {
		out += " coverage " + shareText(s.Search.Coverage)
	}
	if s.Search.EarlyReturn != nil {
		out += " early return " + onOff(*s.Search.EarlyReturn)
	}
	return out
}

func formatShow(s Show) string {
	out := "show " + string(s.Subject)
	switch {
	case s.Subject == ShowService:
		out += " " + quoteName(s.Service)
	case s.Service != "":
		out += " of " + quoteName(s.Service)
	}
	if s.Limit != 0 {
		out += fmt.Sprintf(" limit %d", s.Limit)
	}
	return out
}

// FormatOp returns the text of one operation, or an empty string if none is set.
func FormatOp(op config.Op) string {
	switch {
	case op.CreateService != nil:
		o := op.CreateService
		return "create service " + quoteName(o.Name) + " kind " + string(o.Kind) + settingsText(o.Settings)
	case op.AlterService != nil:
		return "alter service " + quoteName(op.AlterService.Name) + settingsText(op.AlterService.Settings)
	case op.DropService != nil:
		return "drop service " + quoteName(op.DropService.Name)
	case op.CreateReplica != nil:
		return createReplicaText(op.CreateReplica)
	case op.AlterReplica != nil:
		o := op.AlterReplica
		return "alter replica " + quoteName(o.Name) + replicaAttributesText(o.Address, o.DataCentre, o.VM, o.Slots, o.Connections)
	case op.DropReplica != nil:
		return "drop replica " + quoteName(op.DropReplica.Name)
	case op.Drain != nil:
		return drainText(op.Drain)
	case op.Recover != nil:
		return "recover configuration"
	}
	return shardOpText(op)
}

func shardOpText(op config.Op) string {
	switch {
	case op.CreateShard != nil:
		s := op.CreateShard.Shard
		return fmt.Sprintf("create shard %s of %s range %d to %d%s", quoteName(s.Name), quoteName(op.CreateShard.Service), s.First, s.Last, replicasText(s.Replicas))
	case op.AlterShard != nil:
		o := op.AlterShard
		text := replicasText(o.Replicas)
		if text == "" {
			text = " on none"
		}
		return fmt.Sprintf("alter shard %s of %s%s", quoteName(o.Name), quoteName(o.Service), text)
	case op.SplitShard != nil:
		o := op.SplitShard
		return fmt.Sprintf("split shard %s of %s at %d into %s and %s", quoteName(o.Name), quoteName(o.Service), o.At, partText(o.Low), partText(o.High))
	case op.MergeShards != nil:
		o := op.MergeShards
		return fmt.Sprintf("merge shards %s of %s into %s", quoteNames(o.Names), quoteName(o.Service), partText(o.Into))
	case op.DropShard != nil:
		return fmt.Sprintf("drop shard %s of %s", quoteName(op.DropShard.Name), quoteName(op.DropShard.Service))
	}
	return ""
}

func createReplicaText(o *config.CreateReplica) string {
	r := o.Replica
	out := "create replica " + quoteName(o.Name) + " of " + quoteName(r.Service) + replicaAttributesText(&r.Address, &r.DataCentre, &r.VM, &r.Slots, &r.Connections)
	if r.Drained {
		out += " drained"
	}
	return out
}

func replicaAttributesText(address *string, dc *api.DataCentre, vm *api.VMName, slots, connections *int) string {
	out := ""
	if address != nil {
		text := *address
		if !bareAddress.MatchString(text) {
			text = strconv.Quote(text)
		}
		out += " address " + text
	}
	if dc != nil {
		out += " data centre " + quoteName(*dc)
	}
	if vm != nil {
		out += " vm " + quoteName(*vm)
	}
	if slots != nil {
		out += fmt.Sprintf(" slots %d", *slots)
	}
	if connections != nil {
		out += fmt.Sprintf(" connections %d", *connections)
	}
	return out
}

func settingsText(s config.RuleSettings) string {
	out := ""
	if s.Deadline != nil {
		out += " deadline " + s.Deadline.String()
	}
	if s.Coverage != nil {
		out += " coverage " + shareText(*s.Coverage)
	}
	if s.EarlyReturn != nil {
		out += " early return " + onOff(*s.EarlyReturn)
	}
	if s.ExtraLoad != nil {
		out += " extra load " + shareText(*s.ExtraLoad)
	}
	if s.Canary != nil {
		out += " canary " + onOff(*s.Canary)
	}
	if s.MaxRows != nil {
		out += fmt.Sprintf(" max rows %d", *s.MaxRows)
	}
	return out
}

func drainText(d *config.Drain) string {
	out := "drain "
	if !d.Drained {
		out = "undrain "
	}
	if d.VM != "" {
		return out + "vm " + quoteName(d.VM)
	}
	return out + "replica " + quoteName(d.Replica)
}

func partText(p config.ShardSpec) string { return quoteName(p.Name) + replicasText(p.Replicas) }

// replicasText returns the "on" clause of a shard, or an empty string without replicas.
func replicasText(replicas []api.ReplicaName) string {
	if len(replicas) == 0 {
		return ""
	}
	return " on " + quoteNames(replicas)
}

func quoteNames[T ~string](list []T) string {
	parts := make([]string, len(list))
	for i, n := range list {
		parts[i] = quoteName(n)
	}
	return strings.Join(parts, ", ")
}

// quoteName quotes a name that the grammar does not accept without quotes, and the name
// "none", which without quotes stands for an empty list of replicas.
func quoteName[T ~string](n T) string {
	if bareName.MatchString(string(n)) && !strings.EqualFold(string(n), "none") {
		return string(n)
	}
	return strconv.Quote(string(n))
}

func shareText(p api.PPM) string {
	return strconv.FormatFloat(p.Percent(), 'f', -1, 64) + "%"
}

func onOff(v bool) string {
	if v {
		return "on"
	}
	return "off"
}

// operatorText returns the text of an operator, or an empty string if it is unknown.
func operatorText(op api.Operator) string {
	texts := make([]string, 0, 1)
	for text, o := range operators {
		if o == op {
			texts = append(texts, text)
		}
	}
	return slices.Max(append(texts, ""))
}
