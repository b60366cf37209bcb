package experiment

import (
	"bufio"
	"context"
	"io"
	"regexp"
	"strconv"
)

// counters are node counters by "kind/reason".
type counters map[string]uint64

// eventLine matches one counter in the Prometheus text format. The labels are in
// alphabetical order.
var eventLine = regexp.MustCompile(`^baobabsail_events_total\{kind="([^"]*)",node="[^"]*",reason="([^"]*)"\} (\S+)$`)

// readCounters reads the counters of a node.
func readCounters(ctx context.Context, operators string) (counters, error) {
	body, err := get(ctx, operators+"/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	return parseCounters(body)
}

func parseCounters(r io.Reader) (counters, error) {
	out := make(counters)
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		found := eventLine.FindStringSubmatch(scanner.Text())
		if found == nil {
			continue
		}
		value, err := strconv.ParseFloat(found[3], 64)
		if err != nil {
			return nil, ErrSystem.Wrap(err, "read the counter %s", found[0])
		}
		out[found[1]+"/"+found[2]] = uint64(value)
	}
	if err := scanner.Err(); err != nil {
		return nil, ErrSystem.Wrap(err, "read counters")
	}
	return out, nil
}

// add adds other counters.
func (c counters) add(other counters) {
	for key, n := range other {
		c[key] += n
	}
}

// since returns how much the counters have grown.
func (c counters) since(before counters) counters {
	out := make(counters)
	for key, n := range c {
		if n > before[key] {
			out[key] = n - before[key]
		}
	}
	return out
}

// counters sums those of all nodes. A node that was killed counts with its last
// reading.
func (s *system) counters(ctx context.Context) (counters, error) {
	sum := make(counters)
	for _, n := range s.nodes {
		select {
		case <-n.process.ended:
		default:
			last, err := readCounters(ctx, n.operators)
			if err != nil {
				return nil, err
			}
			n.last = last
		}
		sum.add(n.last)
	}
	return sum, nil
}
