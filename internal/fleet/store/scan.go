package store

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"

	"github.com/go-faster/errors"
)

// Entry describes the newest record of a name.
type Entry struct {
	Number uint64 `json:"Number"` // sequence number, counted across the records of all names
	Bytes  int    `json:"Bytes"`  // size of the value
}

// Report describes the content of a state file.
type Report struct {
	Bytes     int64            `json:"Bytes"`   // size of the complete records
	Records   int              `json:"Records"` // number of complete records, including those that were replaced
	Entries   map[string]Entry `json:"Entries"` // the newest records by name
	TornBytes int64            `json:"Torn"`    // number of bytes after the last complete record
	Damaged   bool             `json:"Damaged"` // a record before the last one is damaged, or the file is too large
	Reason    string           `json:"Why"`     // why the file is torn or damaged; empty if it is neither
	SetAside  bool             `json:"Aside"`   // whether an earlier file was set aside as damaged; set by Verify only
}

// Verify checks the state file of a directory that no process uses, and changes nothing.
func Verify(dir string) (Report, error) {
	report, _, err := scan(filepath.Join(dir, FileName))
	if _, statErr := os.Stat(filepath.Join(dir, damagedFileName)); statErr == nil {
		report.SetAside = true
	}
	return report, err
}

// Read returns the newest record of a name in a directory that no process uses.
func Read(dir, key string) (value []byte, found bool, err error) {
	_, records, err := scan(filepath.Join(dir, FileName))
	for _, r := range records {
		if r.key == key {
			value, found = r.value, true
		}
	}
	return value, found, err
}

// framePrefix is the start of each buntdb frame that the store writes.
var framePrefix = []byte("*3\r\n$3\r\nset\r\n")

const (
	lineEnd = "\r\n"
	// maxLengthLine limits the line that gives the length of a key or a record, in bytes.
	maxLengthLine = 24
)

// errTorn is the error for an incomplete or malformed frame.
var errTorn = errors.New("a record is torn")

// frameSize returns the size of the frame of a record, in bytes. recordSize is the size of the encoded
// record.
func frameSize(key string, recordSize int) int64 {
	return int64(len(framePrefix) + lengthPrefixedSize(len(key)) + lengthPrefixedSize(recordSize))
}

// lengthPrefixedSize returns the size of "$N DATA" with N bytes of data. A line end follows both the
// length and the data.
func lengthPrefixedSize(dataSize int) int {
	return len("$") + len(strconv.Itoa(dataSize)) + len(lineEnd) + dataSize + len(lineEnd)
}

// scan reads a state file, and returns its records with the oldest first. A missing file has no records.
func scan(path string) (report Report, records []record, err error) {
	report.Entries = map[string]Entry{}
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return report, nil, nil
	case err != nil:
		return report, nil, errors.Wrap(err, "read the state file")
	case info.Size() > MaxFile:
		report.Damaged, report.Reason = true, "the file is larger than any that is written"
		return report, nil, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return report, nil, errors.Wrap(err, "read the state file")
	}
	records, offset, err := parseRecords(raw)
	if err != nil {
		report.Reason = err.Error()
	}
	lastNumber := uint64(0)
	for _, r := range records {
		report.Entries[r.key] = Entry{Number: r.number, Bytes: len(r.value)}
		lastNumber = r.number
	}
	report.Bytes, report.Records, report.TornBytes = int64(offset), len(records), int64(len(raw)-offset)
	report.Damaged = hasOtherRecords(raw[offset:], lastNumber+1)
	return report, records, nil
}

// parseRecords parses records with consecutive sequence numbers from the start of a file. It returns
// the offset after the last one, and an error if it stopped before the end of the file.
func parseRecords(raw []byte) (records []record, offset int, err error) {
	for offset < len(raw) {
		r, size, err := parseFrame(raw[offset:])
		if err == nil && len(records) > 0 {
			if last := records[len(records)-1].number; r.number != last+1 {
				err = errors.Errorf("record %s has number %d after %d", r.key, r.number, last)
			}
		}
		if err != nil {
			return records, offset, err
		}
		offset += size
		records = append(records, r)
	}
	return records, offset, nil
}

// hasOtherRecords reports whether rest, the bytes after the parsed records, contains a complete record
// whose sequence number is not next. If it does, the file is damaged rather than torn, because only
// the last write can be torn.
func hasOtherRecords(rest []byte, next uint64) bool {
	for {
		start := bytes.Index(rest, framePrefix)
		if start < 0 {
			return false
		}
		if r, _, err := parseFrame(rest[start:]); err == nil && r.number != next {
			return true
		}
		rest = rest[start+1:]
	}
}

// parseFrame parses one buntdb frame, "*3 $3 set $N KEY $N RECORD" with a line end after each word, and
// returns its record and its size.
func parseFrame(raw []byte) (r record, size int, err error) {
	if !bytes.HasPrefix(raw, framePrefix) {
		return r, 0, errors.New("no record begins here")
	}
	size = len(framePrefix)
	key, keySize, err := parseLengthPrefixed(raw[size:], maxKey)
	if err != nil {
		return r, 0, err
	}
	size += keySize
	text, textSize, err := parseLengthPrefixed(raw[size:], MaxRecord+headerSize)
	if err != nil {
		return r, 0, err
	}
	r, err = decode(string(key), text)
	return r, size + textSize, err
}

// parseLengthPrefixed parses "$N DATA", and returns the data and the number of bytes parsed.
func parseLengthPrefixed(raw []byte, maxData int) (data []byte, size int, err error) {
	lineLength := bytes.Index(raw[:min(len(raw), maxLengthLine)], []byte(lineEnd))
	if lineLength < len("$N") || raw[0] != '$' {
		return nil, 0, errTorn
	}
	length, err := strconv.Atoi(string(raw[1:lineLength]))
	if err != nil || length < 0 || length > maxData {
		return nil, 0, errTorn
	}
	start := lineLength + len(lineEnd)
	end := start + length
	if !bytes.HasPrefix(raw[min(end, len(raw)):], []byte(lineEnd)) {
		return nil, 0, errTorn
	}
	return raw[start:end], end + len(lineEnd), nil
}
