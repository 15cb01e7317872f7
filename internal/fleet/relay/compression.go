package relay

import (
	"sync"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"chalkdoor.example/chalkdoor/internal/fleet/deltasync"
)

// Large deltas are compressed for peers whose hello accepts it. After a restart of the whole fleet each relay
// sends all items and the configuration to dozens of agents at once, and the heartbeats of the core queue
// behind them on the same link.
const (
	// minCompressedBytes is the minimum size of the items' data for which deltas are compressed.
	minCompressedBytes = 1 << 10
	// maxDecompressedBytes bounds the decompressed size of a peer's deltas. It is as much as rpc accepts
	// uncompressed.
	maxDecompressedBytes = 16 << 20
	// compressionWindow is the encoder's window size in bytes. It bounds the encoder's memory.
	compressionWindow = 256 << 10
)

var errCompressedDeltas = errors.New("compressed deltas are damaged or too large")

// deltaCodec compresses and decompresses the deltas of all sessions of a node. To bound its memory, it compresses
// one message at a time and decompresses one at a time. It has no goroutines of its own and is safe for concurrent
// use.
type deltaCodec struct {
	compressing sync.Mutex // held during the msgpack encoding too, as an encoded message is large
	encoder     func() *zstd.Encoder
	decoder     func() *zstd.Decoder
}

// newDeltaCodec returns a codec that allocates its encoder and its decoder at their first use.
func newDeltaCodec() deltaCodec {
	return deltaCodec{encoder: sync.OnceValue(newZstdEncoder), decoder: sync.OnceValue(newZstdDecoder)}
}

func newZstdEncoder() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(compressionWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic("relay: zstd encoder: " + err.Error()) // the options are constant and valid
	}
	return encoder
}

func newZstdDecoder() *zstd.Decoder {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxDecompressedBytes))
	if err != nil {
		panic("relay: zstd decoder: " + err.Error())
	}
	return decoder
}

// compress replaces the deltas of a message by their compressed form, unless they are small.
func (c *deltaCodec) compress(m *message) {
	if dataSize(m.Deltas) < minCompressedBytes {
		return
	}
	c.compressing.Lock()
	defer c.compressing.Unlock()
	m.CompressedDeltas = c.encoder().EncodeAll(encode(m.Deltas), nil)
	m.Deltas = nil
}

// decompress restores the deltas of a message if they were compressed.
func (c *deltaCodec) decompress(m *message) error {
	if len(m.CompressedDeltas) == 0 {
		return nil
	}
	encoded, err := c.decoder().DecodeAll(m.CompressedDeltas, nil)
	if err != nil {
		return errors.Wrap(errCompressedDeltas, err.Error())
	}
	var deltas []deltasync.Delta
	if err := msgpack.Unmarshal(encoded, &deltas); err != nil {
		return errors.Wrap(errCompressedDeltas, err.Error())
	}
	m.Deltas, m.CompressedDeltas = deltas, nil
	return nil
}

// dataSize returns the total size of the items' data in deltas.
func dataSize(deltas []deltasync.Delta) (size int) {
	for i := range deltas {
		for j := range deltas[i].Items {
			size += len(deltas[i].Items[j].Data)
		}
	}
	return size
}
