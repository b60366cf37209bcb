package config

import (
	"maps"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/joomcode/errorx"
)

// Apply returns the document that results from applying change c to doc. It does
// not modify doc. If one operation fails, none of them takes effect. Generation and
// Revision of the change may both be 0, and Digest may be 0; Apply then sets them.
// Otherwise they must match the resulting document.
func Apply(doc *Document, c Change) (*Document, error) {
	if err := checkChange(c); err != nil {
		return nil, err
	}
	next := nextPosition(doc, c)
	if c.Position() != (Position{}) && c.Position() != next {
		return nil, ErrSequence.New("change %q leads to generation %d revision %d, expected generation %d revision %d", c.ID, c.Generation, c.Revision, next.Generation, next.Revision)
	}
	e := newEditor(doc)
	for i, op := range c.Ops {
		if err := e.apply(op); err != nil {
			return nil, opError(i, op, err)
		}
	}
	out := e.doc
	out.Generation = next.Generation
	out.Revision = next.Revision
	return finalize(doc, out, c)
}

// finalize validates the new document, sets the position and digest of the change
// and appends it to the history.
func finalize(old, out *Document, c Change) (*Document, error) {
	out.History = nil
	if err := Validate(&Document{Generation: out.Generation, ClaimPartitions: out.ClaimPartitions, ClaimWindow: out.ClaimWindow, Services: out.Services, Replicas: out.Replicas}); err != nil {
		return nil, ErrInvalidChange.New("after the list: %s", Message(err))
	}
	digest := Digest(out)
	if c.Digest != 0 && c.Digest != digest {
		return nil, ErrDigest.New("change %q leads to digest %016x, expected %016x", c.ID, digest, c.Digest)
	}
	c.Digest = digest
	c.Generation = out.Generation
	c.Revision = out.Revision
	c.When = c.When.UTC().Round(0)
	history, err := trimHistory(append(slices.Clone(old.History), c))
	if err != nil {
		return nil, err
	}
	out.History = history
	if _, err := Encode(out); err != nil {
		return nil, err
	}
	return out, nil
}

// trimHistory drops the oldest changes until the history is within MaxHistory and
// MaxHistoryBytes. It fails if the newest change alone exceeds MaxHistoryBytes.
func trimHistory(history []Change) ([]Change, error) {
	const brackets = 2
	total := brackets
	first := len(history)
	for first > 0 && len(history)-first < MaxHistory {
		size, err := jsonSize(history[first-1])
		if err != nil {
			return nil, ErrInvalidChange.New("change %q cannot be encoded: %v", history[first-1].ID, err)
		}
		const comma = 1
		if total+size+comma > MaxHistoryBytes {
			break
		}
		total += size + comma
		first--
	}
	if first == len(history) {
		return nil, ErrTooLarge.New("the change exceeds %d bytes; divide the list into smaller ones", MaxHistoryBytes)
	}
	return slices.Clip(history[first:]), nil
}

// nextPosition returns the position of the document after the change. A recovery
// starts a new generation; the revision grows in any case.
func nextPosition(doc *Document, c Change) Position {
	next := Position{Generation: doc.Generation, Revision: doc.Revision + 1}
	if c.isRecover() {
		next.Generation++
	}
	return next
}

func (c Change) isRecover() bool { return len(c.Ops) == 1 && c.Ops[0].Recover != nil }

// IsRecover reports whether the change is a Recover operation, which starts a new
// generation.
func (c Change) IsRecover() bool { return c.isRecover() }

// checkChange checks the parts of a change that do not depend on the document.
func checkChange(c Change) error {
	if err := checkName(ErrInvalidChange, "change ID", string(c.ID)); err != nil {
		return err
	}
	for _, text := range []string{c.Who, c.Why, c.Text} {
		if !utf8.ValidString(text) {
			return ErrInvalidChange.New("the change contains text that is not UTF-8")
		}
	}
	switch {
	case strings.TrimSpace(c.Who) == "" || len(c.Who) > maxWhoLen:
		return ErrInvalidChange.New("the change does not say who made it, expected 1 to %d bytes", maxWhoLen)
	case strings.TrimSpace(c.Why) == "" || len(c.Why) > maxWhyLen:
		return ErrInvalidChange.New("the change has no reason, expected 1 to %d bytes; put `because \"...\"` at the head of the list", maxWhyLen)
	case len(c.Ops) == 0:
		return ErrInvalidChange.New("the change has no operations")
	}
	for i, op := range c.Ops {
		if n := len(op.setFields()); n != 1 {
			return ErrInvalidChange.New("operation %d has %d fields set, expected exactly one", i+1, n)
		}
		if op.Recover != nil && len(c.Ops) > 1 {
			return ErrInvalidChange.New("recover configuration must be the only operation of its list")
		}
	}
	return nil
}

// opError adds the 1-based number and the name of the operation to an error. It
// keeps the type ErrTooLarge and replaces any other by ErrInvalidOp.
func opError(i int, op Op, err error) error {
	errType := ErrInvalidOp
	if e := errorx.Cast(err); e != nil && e.IsOfType(ErrTooLarge) {
		errType = ErrTooLarge
	}
	return errType.New("operation %d (%s): %s", i+1, op.Name(), Message(err))
}

// Name returns the name of the operation as written in the operators' language, or
// "none" if no field is set.
func (o Op) Name() string {
	if names := o.setFields(); len(names) > 0 {
		return names[0]
	}
	return "none"
}

// setFields returns the names of the operations whose fields are not nil.
func (o Op) setFields() []string {
	all := []struct {
		set  bool
		name string
	}{
		{o.CreateService != nil, "create service"},
		{o.AlterService != nil, "alter service"},
		{o.DropService != nil, "drop service"},
		{o.CreateReplica != nil, "create replica"},
		{o.AlterReplica != nil, "alter replica"},
		{o.DropReplica != nil, "drop replica"},
		{o.CreateShard != nil, "create shard"},
		{o.AlterShard != nil, "alter shard"},
		{o.SplitShard != nil, "split shard"},
		{o.MergeShards != nil, "merge shards"},
		{o.DropShard != nil, "drop shard"},
		{o.Drain != nil, "drain"},
		{o.Recover != nil, "recover configuration"},
	}
	var out []string
	for _, f := range all {
		if f.set {
			out = append(out, f.name)
		}
	}
	return out
}

// newEditor returns an editor of a shallow copy of doc with its own maps of services
// and replicas.
func newEditor(doc *Document) *editor {
	out := *doc
	out.Services = maps.Clone(doc.Services)
	out.Replicas = maps.Clone(doc.Replicas)
	return &editor{doc: &out, ownedServices: map[*Service]bool{}, hasNewMap: map[*Service]bool{}}
}
