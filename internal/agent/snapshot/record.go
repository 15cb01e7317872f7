package snapshot

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// encodeRecord encodes a record as the format version, the version of its table's encoding, its value and
// a checksum. The checksum also covers the generation, the table and the key, so that a record in the wrong
// place is rejected.
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

// reasonOtherVersion is the reason to reject data in another formatVersion.
const reasonOtherVersion = "written by another version of the program"

// footer is the last entry of a generation. A generation without a footer is invalid.
type footer struct {
	seq, runs, count, checksum uint64 // count and checksum are of the generation's records
	clock                      Clock  // time of the save
}

func (f *footer) bytes() []byte {
	raw := binary.BigEndian.AppendUint16(nil, formatVersion)
	for _, v := range []uint64{f.seq, f.runs, f.count, f.checksum, uint64(f.clock.Uptime)} {
		raw = binary.BigEndian.AppendUint64(raw, v)
	}
	raw = append(raw, f.clock.Boot[:]...)
	return binary.BigEndian.AppendUint64(raw, checksum(0, "", "", raw))
}

// footerSize is the size of an encoded footer without its checksum, in bytes.
const footerSize = 2 + 4*8 + 8 + 16

// parseFooter decodes a footer, or returns the reason why it is rejected.
func parseFooter(raw []byte) (f footer, reason string) {
	switch {
	case raw == nil:
		return f, "no footer"
	case len(raw) != footerSize+8 ||
		binary.BigEndian.Uint64(raw[footerSize:]) != checksum(0, "", "", raw[:footerSize]):
		return f, "damaged footer"
	case binary.BigEndian.Uint16(raw) != formatVersion:
		return f, reasonOtherVersion
	}
	rest := raw[2:]
	for _, v := range []*uint64{&f.seq, &f.runs, &f.count, &f.checksum} {
		*v, rest = binary.BigEndian.Uint64(rest), rest[8:]
	}
	f.clock.Uptime, rest = time.Duration(binary.BigEndian.Uint64(rest)), rest[8:]
	copy(f.clock.Boot[:], rest)
	return f, ""
}
