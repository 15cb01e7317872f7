package store

import (
	"encoding/binary"
	"hash/crc64"

	"github.com/go-faster/errors"
)

// A record is stored as the value of one buntdb entry. It consists of a header (format version, sequence
// number and checksum) and the value itself. Integers are big-endian.
const (
	recordFormat   = 1
	numberOffset   = 1
	checksumOffset = numberOffset + 8
	headerSize     = checksumOffset + 8
)

var checksumTable = crc64.MakeTable(crc64.ECMA)

// record is a decoded record.
type record struct {
	key    string
	number uint64 // sequence number
	value  []byte
}

func encode(key string, number uint64, value []byte) string {
	text := make([]byte, headerSize, headerSize+len(value))
	text[0] = recordFormat
	binary.BigEndian.PutUint64(text[numberOffset:], number)
	binary.BigEndian.PutUint64(text[checksumOffset:], checksum(key, text[:checksumOffset], value))
	return string(append(text, value...))
}

func decode(key string, text []byte) (r record, err error) {
	if len(text) < headerSize {
		return r, errors.Errorf("record %s is too short", key)
	}
	header, value := text[:checksumOffset], text[headerSize:]
	switch {
	case binary.BigEndian.Uint64(text[checksumOffset:]) != checksum(key, header, value):
		return r, errors.Errorf("record %s does not match its checksum", key)
	case text[0] != recordFormat:
		return r, errors.Errorf("record %s has format %d: run the version that wrote it", key, text[0])
	}
	return record{key: key, number: binary.BigEndian.Uint64(text[numberOffset:]), value: value}, nil
}

func checksum(key string, header, value []byte) uint64 {
	sum := crc64.Update(0, checksumTable, []byte(key))
	sum = crc64.Update(sum, checksumTable, header)
	return crc64.Update(sum, checksumTable, value)
}
