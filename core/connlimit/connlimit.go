// Package connlimit bounds what the connections of a listener hold together: their number, and the
// memory of the requests and responses on them. It decides which connections are closed when
// others need the room. It has no goroutines, clocks or sockets.
package connlimit

import (
	"slices"
	"time"
)

// ID identifies an open connection of a Table.
type ID uint64

// Phase is what a connection does at the moment.
type Phase uint8

// Phases of a connection.
const (
	// Idle means that no byte of the next request has arrived.
	Idle Phase = iota
	// ReadingHead and ReadingBody mean that a part of a request has arrived.
	ReadingHead
	ReadingBody
	// Running means that a whole request has arrived and has no response yet. The connection is
	// never closed, since the request may be running elsewhere.
	Running
	// Writing means that a response is being written.
	Writing
)

// Limits bounds the connections of a Table.
type Limits struct {
	// Conns is the number of connections.
	Conns int
	// Bytes is the memory of all requests and responses, beyond what each connection needs for
	// its buffers.
	Bytes int64
}

const (
	// SilentAfter is the time without a byte after which a connection in the middle of a request
	// or a response counts as silent.
	SilentAfter = time.Second
	// smallBytes is the memory up to which a request counts as small. The last quarter of the
	// memory is reserved for small requests, so that they are served beside large ones.
	smallBytes = 16 << 10
	// largeNumerator / largeDenominator is the share of the memory for requests of any size.
	largeNumerator, largeDenominator = 3, 4
	// runningNumerator / runningDenominator is the share of the connections whose requests may
	// run at the same time. Since these are not closed, others must be left for new callers.
	runningNumerator, runningDenominator = 3, 4
	// reusedNumerator / reusedDenominator is that share for further requests of a connection.
	// Callers retry on new connections, where they find room beside clients that send one
	// request after the other.
	reusedNumerator, reusedDenominator = 1, 2
)

// conn is the state of an open connection.
type conn struct {
	id    ID
	phase Phase
	// held is the memory of the current request or response.
	held int64
	// since is when the phase began, progressAt when the last byte moved.
	since, progressAt time.Time
	// used is set with the first byte of a request, served after the first response.
	used, served bool
}

// Table holds the open connections of a listener. It is not safe for concurrent use.
type Table struct {
	limits Limits
	lastID ID
	held   int64
	// running is the number of connections in the phase Running.
	running int
	conns   []*conn
	index   map[ID]int // positions in conns
}

// New returns a Table without connections.
func New(limits Limits) *Table { return &Table{limits: limits, index: make(map[ID]int)} }

// Len returns the number of open connections.
func (t *Table) Len() int { return len(t.conns) }

// Held returns the memory of all requests and responses.
func (t *Table) Held() int64 { return t.held }

// Open adds a connection. If there is no room, it removes another one, which the caller has to
// close; without one that may be closed, it returns false.
func (t *Table) Open(now time.Time) (id ID, victims []ID, ok bool) {
	if len(t.conns) >= t.limits.Conns {
		victim := t.worst(now, closable)
		if victim == nil {
			return 0, nil, false
		}
		victims = []ID{victim.id}
		t.Close(victim.id)
	}
	t.lastID++
	t.index[t.lastID] = len(t.conns)
	t.conns = append(t.conns, &conn{id: t.lastID, since: now, progressAt: now})
	return t.lastID, victims, true
}

// Close removes a connection. It has no effect on one that was removed before.
func (t *Table) Close(id ID) {
	i, ok := t.index[id]
	if !ok {
		return
	}
	t.release(t.conns[i])
	t.setPhase(t.conns[i], Idle)
	last := len(t.conns) - 1
	t.conns[i] = t.conns[last]
	t.index[t.conns[i].id] = i
	t.conns[last] = nil
	t.conns = t.conns[:last]
	delete(t.index, id)
}

// Enter sets the phase of a connection and reports whether it is still open. A connection that
// becomes idle gives its memory back.
func (t *Table) Enter(id ID, phase Phase, now time.Time) bool {
	c := t.conn(id)
	if c == nil {
		return false
	}
	if phase == Idle {
		t.release(c)
		c.served = c.served || c.phase == Running || c.phase == Writing
	} else {
		c.used = true
	}
	t.setPhase(c, phase)
	c.since, c.progressAt = now, now
	return true
}

// RoomToRun reports whether the request of a connection may run beside the others.
func (t *Table) RoomToRun(id ID) bool {
	limit := t.limits.Conns * runningNumerator / runningDenominator
	if c := t.conn(id); c != nil && c.served {
		limit = t.limits.Conns * reusedNumerator / reusedDenominator
	}
	return t.running < max(1, limit)
}

func (t *Table) setPhase(c *conn, phase Phase) {
	if c.phase == Running {
		t.running--
	}
	if phase == Running {
		t.running++
	}
	c.phase = phase
}

// Phase returns the phase of a connection, and whether it is still open.
func (t *Table) Phase(id ID) (Phase, bool) {
	c := t.conn(id)
	if c == nil {
		return Idle, false
	}
	return c.phase, true
}

// Use records that a connection, which stays idle for the Table, has been used.
func (t *Table) Use(id ID, now time.Time) {
	if c := t.conn(id); c != nil {
		c.used, c.since, c.progressAt = true, now, now
	}
}

// Progress records that bytes have moved on a connection.
func (t *Table) Progress(id ID, now time.Time) {
	if c := t.conn(id); c != nil {
		c.progressAt = now
	}
}

// Reserve takes memory for the request of a connection. If there is not enough, it removes others
// that rank lower, which the caller has to close; without enough of these, it returns false. A
// request that is alone may exceed the limit, so that the largest one that the configuration
// allows is served.
func (t *Table) Reserve(id ID, bytes int64, now time.Time) (victims []ID, ok bool) {
	c := t.conn(id)
	if c == nil {
		return nil, false
	}
	limit := t.limits.Bytes
	if c.held+bytes > smallBytes {
		limit = limit / largeDenominator * largeNumerator
	}
	victims = t.makeRoom(c, bytes, limit, now)
	alone := t.held == c.held
	if t.held+bytes > limit && !alone {
		return victims, false
	}
	t.hold(c, bytes)
	return victims, true
}

// Hold takes memory that is in use already, for the response of a connection. The connections that
// are removed for it have to be closed.
func (t *Table) Hold(id ID, bytes int64, now time.Time) (victims []ID) {
	c := t.conn(id)
	if c == nil {
		return nil
	}
	victims = t.makeRoom(c, bytes, t.limits.Bytes, now)
	t.hold(c, bytes)
	return victims
}

// Release gives back memory that Hold has taken.
func (t *Table) Release(id ID, bytes int64) {
	if c := t.conn(id); c != nil {
		t.hold(c, -min(bytes, c.held))
	}
}

// Shrink gives back the memory of a connection's request beyond bytes.
func (t *Table) Shrink(id ID, bytes int64) {
	if c := t.conn(id); c != nil && c.held > bytes {
		t.hold(c, bytes-c.held)
	}
}

// Timeouts bounds the time that a connection may spend in a phase; 0 means no bound.
type Timeouts struct {
	// Idle is the time between two requests, and before the first one.
	Idle time.Duration
	// Head is the time for the head of a request.
	Head time.Duration
	// Silence is the time without a byte of a body or a response.
	Silence time.Duration
}

// Expire removes the connections that have exceeded a timeout. The caller has to close them.
func (t *Table) Expire(now time.Time, timeouts Timeouts) (idle, late []ID) {
	for _, c := range t.conns {
		switch {
		case c.phase == Idle && exceeded(now, c.since, timeouts.Idle):
			idle = append(idle, c.id)
		case c.phase == ReadingHead && exceeded(now, c.since, timeouts.Head),
			(c.phase == ReadingBody || c.phase == Writing) && exceeded(now, c.progressAt, timeouts.Silence):
			late = append(late, c.id)
		}
	}
	t.closeAll(idle)
	t.closeAll(late)
	return idle, late
}

// CloseUnused removes the connections without a request: those that have had one, and others that
// were opened, or whose request began, newGrace ago or earlier. The caller has to close them.
func (t *Table) CloseUnused(now time.Time, newGrace time.Duration) (victims []ID) {
	for _, c := range t.conns {
		waited := now.Sub(c.since) >= newGrace
		if c.phase == Idle && (c.used || waited) || c.phase == ReadingHead && waited {
			victims = append(victims, c.id)
		}
	}
	t.closeAll(victims)
	return victims
}

// exceeded reports whether a timeout that began at a time has passed.
func exceeded(now, since time.Time, timeout time.Duration) bool {
	return timeout > 0 && now.Sub(since) >= timeout
}

func (t *Table) closeAll(ids []ID) {
	for _, id := range ids {
		t.Close(id)
	}
}

func (t *Table) conn(id ID) *conn {
	i, ok := t.index[id]
	if !ok {
		return nil
	}
	return t.conns[i]
}

func (t *Table) hold(c *conn, bytes int64) {
	c.held += bytes
	t.held += bytes
}

func (t *Table) release(c *conn) { t.hold(c, -c.held) }

// makeRoom removes connections that rank lower than c until bytes fit below limit. It removes none
// if they would not fit.
func (t *Table) makeRoom(c *conn, bytes, limit int64, now time.Time) (victims []ID) {
	need := t.held + bytes - limit
	if need <= 0 {
		return nil
	}
	var lower []*conn
	var available int64
	for _, other := range t.conns {
		if other != c && closable(other) && other.held > 0 && precedes(other, c, now) {
			lower = append(lower, other)
			available += other.held
		}
	}
	if available < need {
		return nil
	}
	slices.SortFunc(lower, func(a, b *conn) int { return compare(a, b, now) })
	for _, other := range lower {
		if need <= 0 {
			break
		}
		need -= other.held
		victims = append(victims, other.id)
	}
	t.closeAll(victims)
	return victims
}
