package forward

import (
	"bytes"
	"slices"

	"github.com/baobabsail/baobabsail/core/routing"
)

// mergeRecords returns the m.Records largest records of all bodies in descending
// byte order. Duplicates are kept. Trailing bytes shorter than a record are ignored.
func mergeRecords(m routing.Merge, bodies [][]byte) []byte {
	if m.RecordBytes <= 0 || m.Records <= 0 {
		return nil
	}
	var records [][]byte
	for _, body := range bodies {
		for len(body) >= m.RecordBytes {
			records = append(records, body[:m.RecordBytes])
			body = body[m.RecordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(len(records), m.Records)]
	out := make([]byte, 0, len(records)*m.RecordBytes)
	for _, r := range records {
		out = append(out, r...)
	}
	return out
}
