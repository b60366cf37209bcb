package target

import (
	"encoding/hex"
	"strings"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/wire/targetpb"
)

func queryFromProto(q *targetpb.Query) api.Query {
	out := api.Query{
		Service: api.ServiceName(q.GetService()),
		OrderBy: q.GetOrderBy(), Descending: q.GetDescending(), Limit: int(q.GetLimit()),
	}
	for _, c := range q.GetConditions() {
		// targetpb.Operator and api.Operator use the same numeric values.
		out.Conditions = append(out.Conditions, api.Condition{
			Field: c.GetField(), Operator: api.Operator(c.GetOperator()), Value: c.GetValue(),
		})
	}
	return out
}

func rowsToProto(rows []api.Row) []*targetpb.Row {
	out := make([]*targetpb.Row, 0, len(rows))
	for _, row := range rows {
		fields := make([]*targetpb.Field, 0, len(row.Fields))
		for _, f := range row.Fields {
			fields = append(fields, &targetpb.Field{Name: f.Name, Value: f.Value})
		}
		out = append(out, &targetpb.Row{Key: row.Key, Fields: fields})
	}
	return out
}

// outcomeCounter returns the counter of answers with an outcome.
func outcomeCounter(o targetpb.Outcome) Counter {
	return Counter(outcomePrefix + strings.ToLower(o.String()))
}

func hexText(b []byte) string { return hex.EncodeToString(b) }
