package bindiff

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// tenantList is a document of so many entries, each of which is unlike the others.
func tenantList(revision, tenants int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var document bytes.Buffer
	fmt.Fprintf(&document, `{"revision":%d,"tenants":[`, revision)
	for i := range tenants {
		fmt.Fprintf(&document, `{"id":"tenant-%d","keys":["%016x%016x"],"rate":%d},`, i, random.Uint64(), random.Uint64(), random.IntN(1000))
	}
	document.WriteString("null]}")
	return document.Bytes()
}

func requireApplies(t require.TestingT, base, result []byte) Diff {
	diff, ok := Compute(base, result)
	require.True(t, ok)
	got, err := diff.Apply(base)
	require.NoError(t, err)
	require.Equal(t, result, got)
	return diff
}

// The size of a difference follows the change, wherever it is, and hardly the document.
func TestSizeFollowsTheChange(t *testing.T) {
	for _, tenants := range []int{100, 1000, 6500, 12000} {
		base := tenantList(1, tenants)
		middle := bytes.Index(base, fmt.Appendf(nil, "tenant-%d\"", tenants/2))
		for name, result := range map[string][]byte{
			"the same":       base,
			"another number": tenantList(1002, tenants),
			"one more":       tenantList(2, tenants+1),
			"inserted":       slices.Insert(bytes.Clone(base), middle, []byte("tenant-0123456789abcdef")...),
			"taken out":      slices.Delete(bytes.Clone(base), middle, middle+80),
		} {
			diff := requireApplies(t, base, result)
			t.Logf("%d bytes, %s: %d bytes", len(base), name, len(diff.Data))
			assert.Less(t, len(diff.Data), 1<<10, "%d tenants, %s", tenants, name)
		}
	}
}

func TestNoDifference(t *testing.T) {
	long := tenantList(1, 1000)
	random := make([]byte, len(long))
	source := rand.NewChaCha8([32]byte{1})
	_, _ = source.Read(random)
	for name, pair := range map[string][2][]byte{
		"short result":      {long, []byte("short")},
		"short base":        {[]byte("short"), long},
		"no base":           {nil, long},
		"nothing in common": {long, random},
		"too long a base":   {make([]byte, MaxBytes+1), long},
		"too long a result": {long, make([]byte, MaxBytes+1)},
	} {
		_, ok := Compute(pair[0], pair[1])
		assert.False(t, ok, name)
	}
}

func TestOtherBase(t *testing.T) {
	base, result := tenantList(1, 100), tenantList(2, 101)
	diff := requireApplies(t, base, result)
	for _, other := range [][]byte{nil, result, base[1:], make([]byte, MaxBytes+1)} {
		_, err := diff.Apply(other)
		assert.ErrorIs(t, err, ErrOtherBase)
	}
}

func TestDamagedDifference(t *testing.T) {
	base, result := tenantList(1, 100), tenantList(2, 101)
	diff := requireApplies(t, base, result)
	for i := range diff.Data {
		damaged := diff
		damaged.Data = bytes.Clone(diff.Data)
		damaged.Data[i] ^= 0x55
		if got, err := damaged.Apply(base); err == nil {
			assert.Equal(t, result, got, "byte %d", i)
		} else {
			assert.ErrorIs(t, err, ErrDamaged)
		}
	}
	for name, data := range map[string][]byte{"none": nil, "cut short": diff.Data[:len(diff.Data)/2], "no zstd": []byte("no zstd")} {
		damaged := diff
		damaged.Data = data
		_, err := damaged.Apply(base)
		assert.ErrorIs(t, err, ErrDamaged, name)
	}
	damaged := diff
	damaged.ResultSum++
	_, err := damaged.Apply(base)
	assert.ErrorIs(t, err, ErrDamaged)
}

// A peer can't have this process expand a few bytes to any size.
func TestResultIsBounded(t *testing.T) {
	base := tenantList(1, 100)
	limit, ok := Compute(base, make([]byte, MaxBytes))
	require.True(t, ok)
	_, err := limit.Apply(base)
	require.NoError(t, err)
	beyond := encodeUnbounded(t, base, make([]byte, 16*MaxBytes))
	_, err = beyond.Apply(base)
	assert.ErrorIs(t, err, ErrDamaged)
}

// Whatever was edited in a document, the result is what was meant, byte by byte.
func TestAnyEditIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := tenantList(1, rapid.IntRange(60, 400).Draw(t, "tenants"))
		result := bytes.Clone(base)
		for range rapid.IntRange(0, 6).Draw(t, "edits") {
			from := rapid.IntRange(0, len(result)).Draw(t, "from")
			to := min(len(result), from+rapid.IntRange(0, 200).Draw(t, "removed"))
			text := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "inserted")
			result = slices.Replace(result, from, to, text...)
		}
		if len(result) >= MinBytes {
			requireApplies(t, base, result)
		}
	})
}

// encodeUnbounded is Compute without its bounds, as a faulty peer may be.
func encodeUnbounded(t *testing.T, base, result []byte) Diff {
	t.Helper()
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryID, base))
	require.NoError(t, err)
	return Diff{BaseSum: Sum(base), ResultSum: Sum(result), Data: encoder.EncodeAll(result, nil)}
}

// BenchmarkDifference reports what a change of one entry costs.
func BenchmarkDifference(b *testing.B) {
	for _, tenants := range []int{100, 6500} {
		base, result := tenantList(1, tenants), tenantList(2, tenants+1)
		diff, _ := Compute(base, result)
		b.Run(fmt.Sprint("compute ", len(result)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = Compute(base, result)
			}
			b.ReportMetric(float64(len(diff.Data)), "diff-bytes")
		})
		b.Run(fmt.Sprint("apply ", len(result)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = diff.Apply(base)
			}
		})
	}
}
