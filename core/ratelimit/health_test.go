package ratelimit

import "testing"

// Guards against a node that is taken for gone, so that others grant in its place, although it may
// still grant permits, and against one that is waited for although it does not respond.
func TestHealthOfANode(t *testing.T) {
	type state struct{ responsive, gone, certain bool }
	h, now := NewHealth(), start
	check := func(what string, want state) {
		t.Helper()
		gone, certain := h.Gone("n")
		if got := (state{h.Responsive(now, "n"), gone, certain}); got != want {
			t.Errorf("%s: %+v, want %+v", what, got, want)
		}
	}
	check("a node without a failure", state{responsive: true})
	h.Delayed(now, "n")
	check("a delay", state{})
	h.Answered("n", true)
	check("a late response", state{})
	h.Answered("n", false)
	check("a timely response", state{responsive: true})
	h.Unanswered(now, "n")
	check("one request without a response, perhaps on a silent connection", state{})
	h.Unanswered(now, "n")
	check("two of them", state{gone: true})
	now = now.Add(delayedTime)
	check("after a time without requests", state{responsive: true, gone: true})
	h.Refused(now, "n")
	check("a refused connection", state{gone: true, certain: true})
	h.Answered("n", true)
	check("a response of the next process", state{})
	h.Refused(now, "n")
	h.Unanswered(now, "n")
	check("no response after a refused connection", state{})
	h.Retain(func(string) bool { return false })
	check("a node that has left the list", state{responsive: true})
}

// Guards against a sum of the shares that exceeds what the bound of one and a half times the limit
// leaves after bursts, whichever nodes grant at the same time.
func TestSharesFitTheBound(t *testing.T) {
	const bound, window = 1.5, 4.0
	for _, nodes := range []int{2, 6, 60, 570} {
		allocator := Place{}.Share(nodes)
		others := float64(nodes - 1)
		for name, sum := range map[string]float64{
			"standby and isolated nodes": allocator + Place{Before: 1}.Share(nodes) + others*IsolatedShare(nodes),
			"successor":                  allocator + Place{Doubtful: true}.Share(nodes),
			"all nodes alone":            allocator + others*Place{Doubtful: true, Alone: true}.Share(nodes),
		} {
			if granted := usableShare * sum * (window + burstTime.Seconds()) / window; granted > bound {
				t.Errorf("%d nodes, %s: %.2f times the limit in %v s, want %.2f at most", nodes, name, granted, window, bound)
			}
		}
	}
	if s := (Place{Before: 2}).Share(6); s != 0 {
		t.Errorf("the third node grants %v of the limit", s)
	}
}
