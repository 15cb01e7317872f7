// Package bindiff encodes a long byte string as a diff to another one, the base, which the receiver has.
//
// A diff is a zstd frame with the base as its dictionary. Its size depends on how much has changed, not on
// where: an insertion, removal or move of text costs a few bytes, plus the text that is new. Checksums
// identify the base and the result, so that Apply returns exactly the original result or an error.
//
// The package does no I/O.
package bindiff

import (
	"crypto/sha256"
	"encoding/binary"
	"math/bits"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// MinBytes is the minimum length of a base and of a result. A shorter string costs little on the wire,
	// while an encoder takes about 3 MB of memory for a moment.
	MinBytes = 4 << 10
	// MaxBytes bounds the length of bases and results, as both are held in memory at the same time.
	MaxBytes = 2 << 20
	// minSizeRatio is the minimum ratio of the result's length to the diff's length. A longer diff means that
	// the base and the result have little in common.
	minSizeRatio = 2
	// dictionaryID is the ID of the base in each frame. Zstd reserves 0 for frames without a dictionary.
	dictionaryID = 1
	// minWindowBits is the base-2 logarithm of zstd's smallest window size.
	minWindowBits = 10
)

var (
	// ErrBaseMismatch is returned for a diff that was computed from a different base.
	ErrBaseMismatch = errors.New("the difference is to another base")
	// ErrDamaged is returned for a diff that does not decode to its result, or whose result exceeds MaxBytes.
	ErrDamaged = errors.New("the difference is damaged or its result too large")
)

// Diff encodes a result as its difference from a base.
type Diff struct {
	BaseSum   uint64 `msgpack:"b"` // Sum of the base
	ResultSum uint64 `msgpack:"r"` // Sum of the result
	Data      []byte `msgpack:"d"` // a zstd frame
}

// Sum returns the checksum that identifies a byte string: the first 8 bytes of its SHA-256 hash.
func Sum(b []byte) uint64 {
	sum := sha256.Sum256(b)
	return binary.BigEndian.Uint64(sum[:])
}

// Compute returns the diff from a base to a result. It returns false if the whole result should be sent
// instead, as either of them is too short or too long, or they have little in common.
func Compute(base, result []byte) (Diff, bool) {
	if len(result) < MinBytes || len(base) < MinBytes || max(len(base), len(result)) > MaxBytes {
		return Diff{}, false
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowFor(len(base)+len(result))), zstd.WithEncoderDictRaw(dictionaryID, base))
	if err != nil {
		return Diff{}, false
	}
	data := encoder.EncodeAll(result, nil)
	if len(data) > len(result)/minSizeRatio {
		return Diff{}, false
	}
	return Diff{BaseSum: Sum(base), ResultSum: Sum(result), Data: data}, true
}

// windowFor returns a window size, a power of two, that spans at least the given number of bytes.
func windowFor(size int) int {
	return 1 << max(minWindowBits, bits.Len(uint(size)))
}

// Apply returns the result of applying the diff to a base.
func (d *Diff) Apply(base []byte) ([]byte, error) {
	if len(base) > MaxBytes || Sum(base) != d.BaseSum {
		return nil, ErrBaseMismatch
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxBytes), zstd.WithDecoderDictRaw(dictionaryID, base))
	if err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	defer decoder.Close()
	result, err := decoder.DecodeAll(d.Data, nil)
	if err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	if Sum(result) != d.ResultSum {
		return nil, ErrDamaged
	}
	return result, nil
}
