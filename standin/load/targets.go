package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/baobabsail/baobabsail/standin/target"
)

// targetRequests returns the number of requests that all targets together have
// received so far.
func (g *Generator) targetRequests(ctx context.Context) (uint64, error) {
	sum := uint64(0)
	for _, admin := range g.settings.TargetAdmins {
		var counters map[target.Counter]uint64
		if err := getJSON(ctx, g.client, admin, "/counters", &counters); err != nil {
			return 0, err
		}
		sum += counters[target.RequestsReceived]
	}
	return sum, nil
}

// Journals reads the journals of all targets from the admin interfaces in
// Settings.TargetAdmins.
func (g *Generator) Journals(ctx context.Context) ([]target.Journal, error) {
	var out []target.Journal
	for _, admin := range g.settings.TargetAdmins {
		var list []target.Status
		if err := getJSON(ctx, g.client, admin, "/targets", &list); err != nil {
			return nil, err
		}
		for _, t := range list {
			var journal target.Journal
			if err := getJSON(ctx, g.client, admin, "/targets/"+t.Name+"/journal", &journal); err != nil {
				return nil, err
			}
			out = append(out, journal)
		}
	}
	return out, nil
}

func getJSON(ctx context.Context, client *http.Client, base, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(base, "/")+path, nil)
	if err != nil {
		return ErrAdmin.Wrap(err, "build request")
	}
	response, err := client.Do(request)
	if err != nil {
		return ErrAdmin.Wrap(err, "read %s", path)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return ErrAdmin.New("read %s: status %d", path, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return ErrAdmin.Wrap(err, "decode %s", path)
	}
	return nil
}

// CheckWork compares the answers to work orders with the targets' journals of the
// work that they ran. It returns one line for each contradiction: a key that ran
// twice, ran although every answer said not_run, or did not run although an answer
// said that it did.
func CheckWork(records []WorkRecord, journals []target.Journal) []string {
	runs := make(map[string]int)
	for _, j := range journals {
		for _, w := range j.Work {
			runs[w.Key]++
		}
	}
	// ran: an answer says that the order ran; uncertain: an answer leaves it open.
	type claim struct{ ran, uncertain bool }
	claims := make(map[string]claim)
	for _, r := range records {
		c := claims[r.Key]
		switch r.Outcome {
		case outcomeAnswered, outcomeFailed:
			c.ran = true
		case outcomeNotRun:
		default:
			c.uncertain = true
		}
		claims[r.Key] = c
	}
	var out []string
	for key, n := range runs {
		if n > 1 {
			out = append(out, fmt.Sprintf("work order %s ran %d times", key, n))
		}
	}
	for key, c := range claims {
		switch {
		case c.ran && runs[key] == 0:
			out = append(out, fmt.Sprintf("work order %s did not run, but an answer says that it did", key))
		case !c.ran && !c.uncertain && runs[key] > 0:
			out = append(out, fmt.Sprintf("work order %s ran, but every answer says not_run", key))
		}
	}
	slices.Sort(out)
	return out
}
