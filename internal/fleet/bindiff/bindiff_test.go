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

// tenantList returns a document with the given number of entries, which have little in common with each other.
func tenantList(revision, tenants int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	var document bytes.Buffer
	fmt.Fprintf(&document, `{"revision":%d,"tenants":[`, revision)
	for i := range tenants {
		fmt.Fprintf(&document, `{"id":"tenant-%d","keys":["%016x%016x"],"rate":%d},`, i, rng.Uint64(), rng.Uint64(), rng.IntN(1000))
	}
	document.WriteString("null]}")
	return document.Bytes()
}

// requireApplies computes a diff, requires that it restores the result, and returns it.
func requireApplies(t require.TestingT, base, result []byte) Diff {
	diff, ok := Compute(base, result)
	require.True(t, ok)
	got, err := diff.Apply(base)
	require.NoError(t, err)
	require.Equal(t, result, got)
	return diff
}

// The size of a diff depends on the size of the change and not on its position, and hardly on the size of the
// document.
func TestSizeFollowsTheChange(t *testing.T) {
	for _, tenants := range []int{100, 1000, 6500, 12000} {
		base := tenantList(1, tenants)
		middle := bytes.Index(base, fmt.Appendf(nil, "tenant-%d\"", tenants/2))
		for name, result := range map[string][]byte{
			"no change":      base,
			"other revision": tenantList(1002, tenants),
			"one more entry": tenantList(2, tenants+1),
			"insertion":      slices.Insert(bytes.Clone(base), middle, []byte("tenant-0123456789abcdef")...),
			"deletion":       slices.Delete(bytes.Clone(base), middle, middle+80),
		} {
			diff := requireApplies(t, base, result)
			t.Logf("base of %d bytes, %s: diff of %d bytes", len(base), name, len(diff.Data))
			assert.Less(t, len(diff.Data), 1<<10, "%d tenants, %s", tenants, name)
		}
	}
}

func TestNoDifference(t *testing.T) {
	longText := tenantList(1, 1000)
	randomBytes := make([]byte, len(longText))
	source := rand.NewChaCha8([32]byte{1})
	_, _ = source.Read(randomBytes)
	for name, pair := range map[string][2][]byte{
		"short result":      {longText, []byte("short")},
		"short base":        {[]byte("short"), longText},
		"no base":           {nil, longText},
		"nothing in common": {longText, randomBytes},
		"base too long":     {make([]byte, MaxBytes+1), longText},
		"result too long":   {longText, make([]byte, MaxBytes+1)},
	} {
		_, ok := Compute(pair[0], pair[1])
		assert.False(t, ok, name)
	}
}

func TestOtherBase(t *testing.T) {
	base, result := tenantList(1, 100), tenantList(2, 101)
	diff := requireApplies(t, base, result)
	for _, otherBase := range [][]byte{nil, result, base[1:], make([]byte, MaxBytes+1)} {
		_, err := diff.Apply(otherBase)
		assert.ErrorIs(t, err, ErrBaseMismatch)
	}
}

func TestDamagedDifference(t *testing.T) {
	base, result := tenantList(1, 100), tenantList(2, 101)
	diff := requireApplies(t, base, result)
	for i := range diff.Data {
		damagedDiff := diff
		damagedDiff.Data = bytes.Clone(diff.Data)
		damagedDiff.Data[i] ^= 0x55
		if got, err := damagedDiff.Apply(base); err == nil {
			assert.Equal(t, result, got, "byte %d is damaged", i)
		} else {
			assert.ErrorIs(t, err, ErrDamaged)
		}
	}
	for name, data := range map[string][]byte{"no data": nil, "truncated": diff.Data[:len(diff.Data)/2], "not zstd": []byte("no zstd")} {
		damagedDiff := diff
		damagedDiff.Data = data
		_, err := damagedDiff.Apply(base)
		assert.ErrorIs(t, err, ErrDamaged, name)
	}
	damagedDiff := diff
	damagedDiff.ResultSum++
	_, err := damagedDiff.Apply(base)
	assert.ErrorIs(t, err, ErrDamaged)
}

// Apply bounds the size of the result, so that a peer cannot exhaust this process's memory with a small diff.
func TestResultIsBounded(t *testing.T) {
	base := tenantList(1, 100)
	longest, ok := Compute(base, make([]byte, MaxBytes))
	require.True(t, ok)
	_, err := longest.Apply(base)
	require.NoError(t, err)
	tooLong := encodeUnbounded(t, base, make([]byte, 16*MaxBytes))
	_, err = tooLong.Apply(base)
	assert.ErrorIs(t, err, ErrDamaged)
}

// Apply restores exactly the edited document, for arbitrary edits.
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

// encodeUnbounded computes a diff without the bounds of Compute, as a faulty peer may do.
func encodeUnbounded(t *testing.T, base, result []byte) Diff {
	t.Helper()
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryID, base))
	require.NoError(t, err)
	return Diff{BaseSum: Sum(base), ResultSum: Sum(result), Data: encoder.EncodeAll(result, nil)}
}

// BenchmarkDifference measures computing and applying the diff of one additional entry.
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
