package connlimit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against closing ordinary connections before those that misuse the node: for a new
// connection, silent ones go first, then idle ones, then the one whose request takes longest.
func TestOrderOfClosing(t *testing.T) {
	table := New(Limits{Conns: 5, Bytes: 1 << 20})
	var ids []ID
	for range 5 {
		id, _, _ := table.Open(at(0))
		ids = append(ids, id)
	}
	running, idle, slow, silent, fast := ids[0], ids[1], ids[2], ids[3], ids[4]
	table.Enter(running, Running, at(0))
	table.Enter(silent, ReadingBody, at(1))
	table.Enter(slow, ReadingBody, at(2))
	table.Enter(idle, Running, at(3))
	table.Enter(idle, Idle, at(4))
	table.Enter(fast, ReadingHead, at(1900))
	table.Progress(slow, at(1950))
	for i, want := range []ID{silent, idle, slow, fast} {
		id, victims, ok := table.Open(at(2000 + i))
		if !ok || !slices.Equal(victims, []ID{want}) {
			t.Fatalf("open %d: closed %v, want %v", i, victims, want)
		}
		table.Enter(id, Running, at(2000+i))
	}
	if _, victims, ok := table.Open(at(3000)); ok || len(victims) != 0 {
		t.Errorf("a connection was opened beside running ones, closed %v", victims)
	}
}

// Guards against large requests that keep small ones out, and against one that a quiet node
// refuses although the configuration allows it.
func TestMemoryOfLargeRequests(t *testing.T) {
	table := New(Limits{Conns: 10, Bytes: 400 << 10})
	first, _, _ := table.Open(at(0))
	second, _, _ := table.Open(at(0))
	third, _, _ := table.Open(at(0))
	table.Enter(first, ReadingBody, at(1))
	if victims, ok := table.Reserve(first, 1<<20, at(1)); !ok || len(victims) != 0 {
		t.Error("a large request that is alone was refused")
	}
	table.Shrink(first, 300<<10)
	table.Enter(first, Running, at(2))
	table.Enter(second, ReadingBody, at(3))
	if _, ok := table.Reserve(second, 20<<10, at(3)); ok {
		t.Error("a large request got memory that is reserved for small ones")
	}
	table.Enter(third, ReadingBody, at(4))
	if _, ok := table.Reserve(third, 10<<10, at(4)); !ok {
		t.Error("a small request was refused")
	}
	table.Close(first)
	if _, ok := table.Reserve(second, 20<<10, at(5)); !ok || table.Held() != 30<<10 {
		t.Errorf("after the end of the large request: %v, %d bytes held", ok, table.Held())
	}
}

// Guards against clients that send one request after the other and leave no room to run for new
// callers.
func TestFirstRequestsFindRoom(t *testing.T) {
	table := New(Limits{Conns: 4, Bytes: 1 << 20})
	var ids []ID
	for range 4 {
		id, _, _ := table.Open(at(0))
		ids = append(ids, id)
	}
	for _, id := range ids[:3] {
		for _, phase := range []Phase{ReadingHead, Running, Writing, Idle} {
			table.Enter(id, phase, at(1))
		}
	}
	for i, want := range []bool{true, true, false} {
		if got := table.RoomToRun(ids[i]); got != want {
			t.Errorf("next request %d: room to run %v, want %v", i, got, want)
		} else if got {
			table.Enter(ids[i], Running, at(2))
		}
	}
	if !table.RoomToRun(ids[3]) {
		t.Error("a first request finds no room")
	}
}

// Guards against timeouts that close connections too early, or not at all.
func TestTimeouts(t *testing.T) {
	timeouts := Timeouts{Idle: 10 * time.Second, Head: 3 * time.Second, Silence: 5 * time.Second}
	for _, k := range []struct {
		what      string
		phase     Phase
		progress  int // ms
		idle      bool
		survives  int // ms
		endsAfter int // ms
	}{
		{"idle", Idle, 0, true, 9_999, 10_000},
		{"head, which dribbles", ReadingHead, 2_900, false, 2_999, 3_000},
		{"body", ReadingBody, 4_000, false, 8_999, 9_000},
		{"response", Writing, 4_000, false, 8_999, 9_000},
	} {
		table := New(Limits{Conns: 1, Bytes: 1})
		id, _, _ := table.Open(at(0))
		table.Enter(id, k.phase, at(0))
		table.Progress(id, at(k.progress))
		if idle, late := table.Expire(at(k.survives), timeouts); len(idle)+len(late) != 0 {
			t.Errorf("%s: closed after %d ms", k.what, k.survives)
		}
		if idle, late := table.Expire(at(k.endsAfter), timeouts); len(idle)+len(late) != 1 || (len(idle) == 1) != k.idle {
			t.Errorf("%s: closed %v and %v after %d ms", k.what, idle, late, k.endsAfter)
		}
	}
}

// Guards against accounts of memory that drift, against closing a running request, and against
// limits that a sequence of events exceeds.
func TestAnySequenceKeepsTheLimits(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limits := Limits{Conns: 4, Bytes: 64 << 10}
		table := New(limits)
		phases := make(map[ID]Phase)
		held := make(map[ID]int64)
		now := start
		drop := func(ids []ID) {
			for _, id := range ids {
				if phases[id] == Running {
					r.Fatal("a running request was closed")
				}
				delete(phases, id)
				delete(held, id)
			}
		}
		for range rapid.IntRange(1, 60).Draw(r, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(r, "pause")) * time.Millisecond)
			id := ID(rapid.IntRange(1, 12).Draw(r, "connection"))
			_, open := phases[id]
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0:
				if id, victims, ok := table.Open(now); ok {
					drop(victims)
					phases[id], held[id] = Idle, 0
				}
			case 1:
				phase := Phase(rapid.IntRange(0, int(Writing)).Draw(r, "phase"))
				if table.Enter(id, phase, now) != open {
					r.Fatalf("connection %d is open: %v", id, !open)
				}
				if open {
					phases[id] = phase
				}
				if open && phase == Idle {
					held[id] = 0
				}
			case 2:
				bytes := int64(rapid.IntRange(1, 100<<10).Draw(r, "bytes"))
				alone := table.Held() == held[id]
				victims, ok := table.Reserve(id, bytes, now)
				drop(victims)
				if ok {
					held[id] += bytes
				}
				if ok && table.Held() > limits.Bytes && !alone {
					r.Fatalf("%d bytes are held beside others", table.Held())
				}
			case 3:
				table.Close(id)
				delete(phases, id)
				delete(held, id)
			case 4:
				idle, late := table.Expire(now, Timeouts{Idle: time.Second, Head: time.Second, Silence: time.Second})
				drop(idle)
				drop(late)
			}
			var sum int64
			for _, bytes := range held {
				sum += bytes
			}
			running := 0
			for _, phase := range phases {
				if phase == Running {
					running++
				}
			}
			if table.RoomToRun(0) != (running < 3) {
				r.Fatalf("room to run: %v beside %d of 4", table.RoomToRun(0), running)
			}
			if table.Len() != len(phases) || table.Len() > limits.Conns || table.Held() != sum {
				r.Fatalf("%d connections hold %d bytes, want %d with %d", table.Len(), table.Held(), len(phases), sum)
			}
		}
	})
}

// Guards against shares that exceed the process together, on the smallest machine and others.
func TestSharesFitTheProcess(t *testing.T) {
	for _, k := range []struct {
		megabytes   int64
		descriptors int
	}{{128, 600}, {160, 4100}, {284, 4100}, {430, 10250}, {0, 0}} {
		p := ForProcess(k.megabytes<<20, k.descriptors)
		memory, descriptors := k.megabytes<<20, k.descriptors
		if memory == 0 {
			memory, descriptors = defaultMemoryBytes, defaultDescriptors
		}
		sum := p.Callers.Bytes + int64(p.Callers.Conns)*connMemoryBytes + p.ResponseBytes +
			2*p.Peers.Bytes + int64(p.Peers.Conns)*peerConnMemoryBytes + int64(p.PeerCalls)*callMemoryBytes + 2*p.Operators.Bytes
		if limit := memory / 100 * 75; sum > limit {
			t.Errorf("%d MB: the shares are %d bytes, want at most %d", k.megabytes, sum, limit)
		}
		if conns := p.Callers.Conns + p.Peers.Conns + 2*p.Operators.Conns; conns > descriptors-reservedDescriptors {
			t.Errorf("%d descriptors: %d connections", k.descriptors, conns)
		}
	}
}
