package snapshot

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// encodeRecord encodes a record: format, version of its table, value, and a checksum over these, its
// table and key and its generation, so that a record in the wrong place is rejected.
func encodeRecord(seq uint64, table, key string, r Record) []byte {
	raw := binary.BigEndian.AppendUint16(nil, formatVersion)
	raw = binary.BigEndian.AppendUint16(raw, r.Version)
	raw = append(raw, r.Value...)
	return binary.BigEndian.AppendUint64(raw, checksum(seq, table, key, raw))
}

func checksum(seq uint64, table, key string, raw []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(fmt.Sprintf("%d %q %q ", seq, table, key)) // a hash never fails
	_, _ = h.Write(raw)
	return h.Sum64()
}

// decodeRecord decodes a record, or returns the reason why it is rejected.
func decodeRecord(seq uint64, table, key string, raw []byte) (Record, string) {
	switch n := len(raw) - 8; {
	case n < 4:
		return Record{}, "too short"
	case len(raw) > maxRecord:
		return Record{}, "too long"
	case binary.BigEndian.Uint64(raw[n:]) != checksum(seq, table, key, raw[:n]):
		return Record{}, "checksum"
	case binary.BigEndian.Uint16(raw) != formatVersion:
		return Record{}, reasonOtherVersion
	default:
		return Record{Version: binary.BigEndian.Uint16(raw[2:]), Value: slices.Clone(raw[4:n])}, ""
	}
}

const reasonOtherVersion = "of another version of the program"

// footer completes a generation. Without one a generation is invalid.
type footer struct {
	seq, runs, count, checksum uint64
	clock                      Clock
}

func (f *footer) bytes() []byte {
	raw := binary.BigEndian.AppendUint16(nil, formatVersion)
	for _, v := range []uint64{f.seq, f.runs, f.count, f.checksum, uint64(f.clock.Uptime)} {
		raw = binary.BigEndian.AppendUint64(raw, v)
	}
	raw = append(raw, f.clock.Boot[:]...)
	return binary.BigEndian.AppendUint64(raw, checksum(0, "", "", raw))
}

const footerSize = 2 + 4*8 + 8 + 16

func parseFooter(raw []byte) (f footer, why string) {
	switch {
	case raw == nil:
		return f, "no end"
	case len(raw) != footerSize+8 || binary.BigEndian.Uint64(raw[footerSize:]) != checksum(0, "", "", raw[:footerSize]):
		return f, "its end is damaged"
	case binary.BigEndian.Uint16(raw) != formatVersion:
		return f, reasonOtherVersion
	}
	at := raw[2:]
	for _, v := range []*uint64{&f.seq, &f.runs, &f.count, &f.checksum} {
		*v, at = binary.BigEndian.Uint64(at), at[8:]
	}
	f.clock.Uptime, at = time.Duration(binary.BigEndian.Uint64(at)), at[8:]
	copy(f.clock.Boot[:], at)
	return f, ""
}
