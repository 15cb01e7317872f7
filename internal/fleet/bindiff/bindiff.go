// Package bindiff encodes a long byte string as what changed since another one that the receiver has.
//
// A difference is a zstd frame with the base as its dictionary, so that its size follows what changed and not
// where: text that was inserted, removed or moved costs a few bytes. Checksums name the base and the result,
// and Apply returns the result byte by byte or an error.
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
	// MinBytes is the length from which on a string is worth a difference. An encoder costs about 3 MB of
	// memory for a moment, and a shorter string little on the wire.
	MinBytes = 4 << 10
	// MaxBytes bounds bases and results, as memory for both is needed at once.
	MaxBytes = 2 << 20
	// maxDataPart is the largest part of the result that a difference may be as long as, as a divisor: one
	// that is longer shows that the strings have little in common.
	maxDataPart = 2
	// dictionaryID is the ID of the base in each frame. Zstd reserves 0 for frames without a dictionary.
	dictionaryID = 1
	// minWindowBits is the exponent of the smallest window that zstd has.
	minWindowBits = 10
)

var (
	// ErrOtherBase reports a difference to another base than the given one.
	ErrOtherBase = errors.New("the difference is to another base")
	// ErrDamaged reports a difference that does not lead to its result.
	ErrDamaged = errors.New("the difference is damaged or its result too large")
)

// Diff leads from a base to a result.
type Diff struct {
	BaseSum   uint64 `msgpack:"b"` // Sum of the base
	ResultSum uint64 `msgpack:"r"` // Sum of the result
	Data      []byte `msgpack:"d"` // a zstd frame
}

// Sum is a checksum that names a byte string.
func Sum(b []byte) uint64 {
	sum := sha256.Sum256(b)
	return binary.BigEndian.Uint64(sum[:])
}

// Compute returns the difference between a base and a result. It returns false where the result had better
// be sent whole: it is short or too long, or has little in common with the base.
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
	if len(data) > len(result)/maxDataPart {
		return Diff{}, false
	}
	return Diff{BaseSum: Sum(base), ResultSum: Sum(result), Data: data}, true
}

// windowFor returns the size of a window that spans a number of bytes: a power of two.
func windowFor(size int) int {
	return 1 << max(minWindowBits, bits.Len(uint(size)))
}

// Apply returns the result of a difference to a base.
func (d *Diff) Apply(base []byte) ([]byte, error) {
	if len(base) > MaxBytes || Sum(base) != d.BaseSum {
		return nil, ErrOtherBase
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
