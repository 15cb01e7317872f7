package store

import (
	"fmt"
	"os"
	"testing"
)

// BenchmarkPut measures writes of records of one size to the machine's disk, including syncs and compactions.
func BenchmarkPut(b *testing.B) {
	for _, size := range []int{1 << 10, 30 << 10, 100 << 10, 900 << 10} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			s, _, err := Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			value, largest := make([]byte, size), int64(0)
			b.ReportAllocs()
			for b.Loop() {
				if err := s.Put("value", value); err != nil {
					b.Fatal(err)
				}
				if info, err := os.Stat(s.path(FileName)); err == nil {
					largest = max(largest, info.Size())
				}
			}
			b.ReportMetric(float64(largest), "B/file")
		})
	}
}
