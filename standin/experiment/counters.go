package experiment

import (
	"bufio"
	"context"
	"io"
	"regexp"
	"strconv"
)

// counters maps "kind/reason" to the value of an event counter of a node.
type counters map[string]uint64

// eventLine matches an event counter in the Prometheus text format, which lists
// the labels in alphabetical order.
var eventLine = regexp.MustCompile(`^baobabsail_events_total\{kind="([^"]*)",node="[^"]*",reason="([^"]*)"\} (\S+)$`)

// readCounters reads the event counters of the node at a base URL.
func readCounters(ctx context.Context, operatorURL string) (counters, error) {
	body, err := get(ctx, operatorURL+"/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	return parseCounters(body)
}

// parseCounters reads event counters in the Prometheus text format and skips other
// metrics.
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

// add adds the values of other to c.
func (c counters) add(other counters) {
	for key, n := range other {
		c[key] += n
	}
}

// since returns the increase of the counters from before to c, without those that
// did not increase.
func (c counters) since(before counters) counters {
	out := make(counters)
	for key, n := range c {
		if n > before[key] {
			out[key] = n - before[key]
		}
	}
	return out
}

// counters returns the sums of the counters of all nodes. A node that has ended
// counts with the values that were last read.
func (s *system) counters(ctx context.Context) (counters, error) {
	sum := make(counters)
	for _, n := range s.nodes {
		select {
		case <-n.process.ended:
		default:
			last, err := readCounters(ctx, n.operatorURL)
			if err != nil {
				return nil, err
			}
			n.lastCounters = last
		}
		sum.add(n.lastCounters)
	}
	return sum, nil
}
