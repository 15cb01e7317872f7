package store

import (
	"fmt"
	"os"
	"testing"
)

// A record of so many bytes on the machine's own disk, synced, the file's rewriting included.
func BenchmarkPut(b *testing.B) {
	for _, size := range []int{1 << 10, 30 << 10, 100 << 10, 900 << 10} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			s, _, err := Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			val, largest := make([]byte, size), int64(0)
			b.ReportAllocs()
			for b.Loop() {
				if err := s.Put("value", val); err != nil {
					b.Fatal(err)
				}
				if st, err := os.Stat(s.path(fileName)); err == nil {
					largest = max(largest, st.Size())
				}
			}
			b.ReportMetric(float64(largest), "B/file")
		})
	}
}
