package forward

import (
	"github.com/baobabsail/baobabsail/core/records"
	"github.com/baobabsail/baobabsail/core/routing"
)

// mergeRecords returns the m.Records largest records of all bodies in descending
// byte order. Duplicates are kept. Trailing bytes shorter than a record are ignored.
func mergeRecords(m routing.Merge, bodies [][]byte) []byte {
	if m.RecordBytes <= 0 || m.Records <= 0 {
		return nil
	}
	var all [][]byte
	for _, body := range bodies {
		all = records.AppendSplit(all, m.RecordBytes, body)
	}
	return records.Greatest(m, all)
}
