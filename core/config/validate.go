package config

import (
	"net/netip"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/baobabsail/baobabsail/core/api"
)

// Limits of names, numbers and texts. The lengths of texts are in bytes.
const (
	maxNameLen     = 63
	maxSlots       = 100_000
	maxConnections = 100_000
	maxPartitions  = 1 << 16
	maxWhoLen      = 256
	maxWhyLen      = 4096
)

// Validate checks a whole document: names, addresses, limits, references, the
// order of the history, and that the shards of each partition map cover all hash
// values. It returns the first error found: services come first, then replicas,
// both in ascending order of name, then the history.
func Validate(doc *Document) error {
	if err := validateHeader(doc); err != nil {
		return err
	}
	for _, name := range doc.ServiceNames() {
		if err := validateService(doc, name); err != nil {
			return err
		}
	}
	for _, name := range doc.ReplicaNames() {
		if err := validateReplica(doc, name); err != nil {
			return err
		}
	}
	return validateHistory(doc)
}

// validateHeader checks the top-level fields, except services, replicas and history.
func validateHeader(doc *Document) error {
	switch {
	case doc == nil:
		return ErrInvalidDocument.New("there is no document")
	case doc.Generation == 0:
		return ErrInvalidDocument.New("generation is 0, expected at least 1")
	case doc.ClaimPartitions < 1 || doc.ClaimPartitions > maxPartitions:
		return ErrInvalidDocument.New("claim_partitions is %d, expected 1 to %d", doc.ClaimPartitions, maxPartitions)
	case doc.ClaimWindow <= 0:
		return ErrInvalidDocument.New("claim window is %v, expected a positive duration", doc.ClaimWindow)
	}
	return nil
}

func validateService(doc *Document, name api.ServiceName) error {
	s := doc.Services[name]
	if err := checkName(ErrInvalidDocument, "service", string(name)); err != nil {
		return err
	}
	if s == nil {
		return ErrInvalidDocument.New("service %q has no content", name)
	}
	if s.Kind != KindSearch && s.Kind != KindWork {
		return ErrInvalidDocument.New("service %q: kind is %q, expected %q or %q", name, s.Kind, KindSearch, KindWork)
	}
	if err := checkRule(name, s.Rule); err != nil {
		return err
	}
	if s.Kind == KindWork && len(s.Maps) > 0 {
		return ErrInvalidDocument.New("service %q: a work service has no shards", name)
	}
	if len(s.Maps) > maxMaps {
		return ErrInvalidDocument.New("service %q has %d partition maps, expected at most %d", name, len(s.Maps), maxMaps)
	}
	var last uint64
	for i := range s.Maps {
		m := &s.Maps[i]
		if m.Epoch <= last {
			return ErrInvalidDocument.New("service %q: epoch %d does not follow epoch %d", name, m.Epoch, last)
		}
		last = m.Epoch
		if err := validateMap(doc, name, m); err != nil {
			return err
		}
	}
	return nil
}

func checkRule(name api.ServiceName, r Rule) error {
	switch {
	case r.Deadline < time.Millisecond || r.Deadline > MaxDeadline:
		return ErrInvalidDocument.New("service %q: deadline is %v, expected 1ms to %v", name, r.Deadline, MaxDeadline)
	case r.Coverage > api.Whole:
		return ErrInvalidDocument.New("service %q: coverage is %g%%, expected 0%% to 100%%", name, r.Coverage.Percent())
	case r.ExtraLoad > MaxExtraLoad:
		return ErrInvalidDocument.New("service %q: extra_load is %g%%, expected at most %g%%", name, r.ExtraLoad.Percent(), MaxExtraLoad.Percent())
	case r.MaxRows < 1 || r.MaxRows > MaxRowsLimit:
		return ErrInvalidDocument.New("service %q: max_rows is %d, expected 1 to %d", name, r.MaxRows, MaxRowsLimit)
	}
	return nil
}

// validateMap checks that each hash value belongs to exactly one shard and that the
// replicas of the shards exist and belong to the service.
func validateMap(doc *Document, service api.ServiceName, m *PartitionMap) error {
	names := make(map[api.ShardName]bool, len(m.Shards))
	for i := range m.Shards {
		sh := &m.Shards[i]
		if err := checkName(ErrInvalidDocument, "shard", string(sh.Name)); err != nil {
			return err
		}
		if names[sh.Name] {
			return ErrInvalidDocument.New("service %q: shard %q occurs twice at epoch %d", service, sh.Name, m.Epoch)
		}
		names[sh.Name] = true
		if err := checkShardReplicas(doc, service, sh); err != nil {
			return err
		}
	}
	return checkHashRanges(service, m)
}

// checkShardReplicas checks that the replicas of a shard exist, belong to the service
// and are listed once each.
func checkShardReplicas(doc *Document, service api.ServiceName, sh *Shard) error {
	for i, r := range sh.Replicas {
		rep := doc.Replicas[r]
		if rep == nil {
			return ErrInvalidDocument.New("service %q: shard %q names replica %q, which does not exist", service, sh.Name, r)
		}
		if rep.Service != service {
			return ErrInvalidDocument.New("service %q: shard %q names replica %q, which belongs to service %q", service, sh.Name, r, rep.Service)
		}
		if slices.Contains(sh.Replicas[:i], r) {
			return ErrInvalidDocument.New("service %q: shard %q names replica %q twice", service, sh.Name, r)
		}
	}
	return nil
}

// checkHashRanges checks that the shards of a map cover all hash values without gaps
// or overlaps. A map without shards is valid.
func checkHashRanges(service api.ServiceName, m *PartitionMap) error {
	if len(m.Shards) == 0 {
		return nil
	}
	shards := slices.Clone(m.Shards)
	slices.SortFunc(shards, compareShards)
	var next uint64
	for _, sh := range shards {
		switch {
		case sh.Last < sh.First:
			return ErrInvalidDocument.New("service %q: shard %q ends at %d before it starts at %d", service, sh.Name, sh.Last, sh.First)
		case uint64(sh.First) > next:
			return ErrInvalidDocument.New("service %q: no shard covers the hashes %d to %d; the shards must cover 0 to 4294967295", service, next, sh.First-1)
		case uint64(sh.First) < next:
			return ErrInvalidDocument.New("service %q: shard %q starts at %d, but the hashes up to %d are covered by another shard", service, sh.Name, sh.First, next-1)
		}
		next = uint64(sh.Last) + 1
	}
	if next != 1<<32 {
		return ErrInvalidDocument.New("service %q: no shard covers the hashes %d to 4294967295", service, next)
	}
	return nil
}

func validateReplica(doc *Document, name api.ReplicaName) error {
	r := doc.Replicas[name]
	if err := checkName(ErrInvalidDocument, "replica", string(name)); err != nil {
		return err
	}
	if r == nil {
		return ErrInvalidDocument.New("replica %q has no content", name)
	}
	if doc.Services[r.Service] == nil {
		return ErrInvalidDocument.New("replica %q belongs to service %q, which does not exist", name, r.Service)
	}
	if ap, err := netip.ParseAddrPort(r.Address); err != nil || ap.Port() == 0 {
		return ErrInvalidDocument.New("replica %q: address is %q, expected IP:port", name, r.Address)
	}
	if err := checkName(ErrInvalidDocument, "data centre", string(r.DataCentre)); err != nil {
		return err
	}
	if err := checkName(ErrInvalidDocument, "VM", string(r.VM)); err != nil {
		return err
	}
	if r.Slots < 1 || r.Slots > maxSlots {
		return ErrInvalidDocument.New("replica %q: slots is %d, expected 1 to %d", name, r.Slots, maxSlots)
	}
	if r.Connections < 1 || r.Connections > maxConnections {
		return ErrInvalidDocument.New("replica %q: connections is %d, expected 1 to %d", name, r.Connections, maxConnections)
	}
	return nil
}

// validateHistory checks that the positions in the history are in sequence and that
// the last one is the document's position.
func validateHistory(doc *Document) error {
	if len(doc.History) > MaxHistory {
		return ErrInvalidDocument.New("history has %d changes, expected at most %d", len(doc.History), MaxHistory)
	}
	if len(doc.History) == 0 {
		if doc.Revision != 0 {
			return ErrInvalidDocument.New("history is empty at revision %d", doc.Revision)
		}
		return nil
	}
	var last Position
	for i := range doc.History {
		p := doc.History[i].Position()
		if i > 0 && (p.Revision != last.Revision+1 || p.Generation < last.Generation) {
			return ErrInvalidDocument.New("history: change at revision %d does not follow revision %d", p.Revision, last.Revision)
		}
		last = p
	}
	if last != doc.Position() {
		return ErrInvalidDocument.New("history ends at revision %d, the document is at %d", last.Revision, doc.Revision)
	}
	return nil
}

// Verify checks a document received from the store or from another node. In addition
// to Validate, it compares the document's digest with the one recorded in its newest
// change.
func Verify(doc *Document) error {
	if err := Validate(doc); err != nil {
		return err
	}
	if newest := doc.NewestChange(); newest != nil && newest.Digest != Digest(doc) {
		return ErrDigest.New("the document at revision %d does not match the digest of change %q", doc.Revision, newest.ID)
	}
	return nil
}

// checkName returns an error of the given type unless the name consists of 1 to
// maxNameLen letters, digits, '.', '_' and '-' and starts with a letter or digit.
func checkName(errType *errorx.Type, what, name string) error {
	ok := name != "" && len(name) <= maxNameLen
	for i := 0; ok && i < len(name); i++ {
		c := name[i]
		alnum := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		ok = alnum || i > 0 && (c == '.' || c == '_' || c == '-')
	}
	if ok {
		return nil
	}
	return errType.New("%s name %q is not valid, expected 1 to %d letters, digits, '.', '_' or '-', starting with a letter or digit", what, name, maxNameLen)
}
