// Package records selects the greatest of many records of a fixed size, compared byte by byte,
// without keeping the others.
package records

import (
	"bytes"
	"slices"

	"github.com/baobabsail/baobabsail/core/routing"
)

const (
	// keptFactor is how many times as many records as needed may be held, so that they are sorted
	// rarely. Short data is held as it is.
	keptFactor = 2
	// maxKeptBytes bounds the memory of a Selector.
	maxKeptBytes = 64 << 10
)

// Selector keeps the greatest records of the data that is written to it. Its memory depends on the
// number of records that it keeps, not on what is written.
type Selector struct {
	rule routing.Merge
	data []byte
	// selected is the length of the records at the start of data that were selected before, and
	// least the least of them, once there are as many as the rule says. Other records count only if
	// they are greater.
	selected int
	least    []byte
}

// Selectable reports whether a Selector can hold the records that a rule keeps in little memory.
func Selectable(rule routing.Merge) bool {
	return rule.Known() && rule.Records > 0 && rule.Records <= maxKeptBytes/rule.RecordBytes/keptFactor
}

// NewSelector returns a Selector that keeps the records that the rule, which must be selectable,
// keeps.
func NewSelector(rule routing.Merge) *Selector { return &Selector{rule: rule} }

// Write adds data, in which records may be split between calls. It never fails.
func (s *Selector) Write(p []byte) (int, error) {
	s.data = append(s.data, p...)
	if len(s.data)/s.rule.RecordBytes > keptFactor*s.rule.Records {
		s.reduce()
	}
	return len(p), nil
}

// Bytes returns the greatest records in any order, possibly with smaller ones, followed by the rest
// of the data that is shorter than a record.
func (s *Selector) Bytes() []byte { return s.data }

// reduce drops all but the greatest records.
func (s *Selector) reduce() {
	rest := s.data[len(s.data)/s.rule.RecordBytes*s.rule.RecordBytes:]
	all := AppendSplit(nil, s.rule.RecordBytes, s.data[:s.selected])
	for added := s.data[s.selected:]; len(added) >= s.rule.RecordBytes; added = added[s.rule.RecordBytes:] {
		if r := added[:s.rule.RecordBytes]; s.least == nil || bytes.Compare(r, s.least) > 0 {
			all = append(all, r)
		}
	}
	kept := Greatest(s.rule, all)
	if n := s.rule.Records * s.rule.RecordBytes; n > 0 && len(kept) == n {
		s.least = bytes.Clone(kept[n-s.rule.RecordBytes:])
	}
	s.selected = len(kept)
	s.data = append(kept, rest...)
}

// AppendSplit appends the records of a body. Trailing bytes shorter than a record are ignored.
func AppendSplit(all [][]byte, recordBytes int, body []byte) [][]byte {
	for len(body) >= recordBytes {
		all = append(all, body[:recordBytes])
		body = body[recordBytes:]
	}
	return all
}

// Greatest returns the records that a rule keeps, greatest first. Equal records all count. It
// changes the order of all.
func Greatest(rule routing.Merge, all [][]byte) []byte {
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	all = all[:min(len(all), rule.Records)]
	out := make([]byte, 0, len(all)*rule.RecordBytes)
	for _, r := range all {
		out = append(out, r...)
	}
	return out
}
