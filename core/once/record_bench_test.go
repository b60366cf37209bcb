package once

import (
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
)

// BenchmarkClaim measures the cost of adding a claim to records of different
// sizes: decoding the record, adding the claim, and encoding the record for the
// write. record-B is the size of the record in bytes, which every write sends.
func BenchmarkClaim(b *testing.B) {
	for _, claims := range []int{150, 1_500, 15_000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			r := &record{}
			for i := range claims {
				r.put(benchEntry(i))
			}
			encoded := r.encode()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				read, err := decodeRecord(encoded)
				if err != nil {
					b.Fatal(err)
				}
				next := copyRecord(read)
				next.put(benchEntry(claims))
				next.encode()
			}
			b.StopTimer()
			b.ReportMetric(float64(len(encoded)), "record-B")
		})
	}
}

// benchEntry returns the claim of an answered work order with a result of 17 bytes.
func benchEntry(i int) entry {
	var e entry
	binary.BigEndian.PutUint64(e.key[:8], uint64(i+1)<<20)
	e.key[15] = byte(i)
	e.id = claimID{life: api.Life(i % 8), seq: uint64(i)}
	e.state = stateAnswered
	e.result = "done 0123456789ab"
	return e
}
