package store

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"

	"github.com/go-faster/errors"
)

// Entry is the newest record of a name.
type Entry struct {
	Number uint64 `json:"Number"` // its place among all records that were written
	Bytes  int    `json:"Bytes"`
}

// Report is what a state file holds.
type Report struct {
	Bytes     int64            `json:"Bytes"`   // of whole records
	Records   int              `json:"Records"` // older ones among them
	Entries   map[string]Entry `json:"Entries"` // by name
	TornBytes int64            `json:"Torn"`    // bytes behind the last whole record: a write that a loss of power cut
	Damaged   bool             `json:"Damaged"` // records before the last one are not whole
	Reason    string           `json:"Why"`     // what is wrong where it was torn or damaged
	SetAside  bool             `json:"Aside"`   // an earlier file was set aside as damaged
}

// Verify reads the state file of a folder that no process uses, and changes nothing.
func Verify(dir string) (Report, error) {
	rep, _, err := scan(filepath.Join(dir, fileName))
	if _, e := os.Stat(filepath.Join(dir, damagedName)); e == nil {
		rep.SetAside = true
	}
	return rep, err
}

// Read is the newest record of a name in a folder that no process uses.
func Read(dir, key string) (val []byte, ok bool, err error) {
	_, recs, err := scan(filepath.Join(dir, fileName))
	for _, r := range recs {
		if r.key == key {
			val, ok = r.val, true
		}
	}
	return val, ok, err
}

type record struct {
	key    string
	number uint64
	val    []byte
}

// start begins each of buntdb's frames that the store writes.
var start = []byte("*3\r\n$3\r\nset\r\n")

func frameSize(key string, val int) int64 {
	return int64(len(start) + len(strconv.Itoa(len(key))) + len(key) + len(strconv.Itoa(val)) + val + 10)
}

// scan reads a file record by record. Only the last write may be torn: what follows the whole
// records then holds no record that was written after that one.
func scan(path string) (rep Report, recs []record, err error) {
	rep.Entries = map[string]Entry{}
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return rep, nil, nil
	case err != nil:
		return rep, nil, errors.Wrap(err, "read the state file")
	case info.Size() > MaxFile:
		rep.Damaged, rep.Reason = true, "the file is larger than any that is written"
		return rep, nil, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return rep, nil, errors.Wrap(err, "read the state file")
	}
	at, last := 0, uint64(0)
	for at < len(raw) {
		r, n, err := frame(raw[at:])
		if err == nil && last > 0 && r.number != last+1 {
			err = errors.Errorf("record %s has number %d after %d", r.key, r.number, last)
		}
		if err != nil {
			rep.Reason = err.Error()
			break
		}
		at, last = at+n, r.number
		recs = append(recs, r)
		rep.Entries[r.key] = Entry{Number: r.number, Bytes: len(r.val)}
	}
	rep.Bytes, rep.Records, rep.TornBytes = int64(at), len(recs), int64(len(raw)-at)
	for rest := raw[at:]; ; {
		i := bytes.Index(rest, start)
		if i < 0 {
			break
		}
		if r, _, err := frame(rest[i:]); err == nil && r.number != last+1 {
			rep.Damaged = true
		}
		rest = rest[i+1:]
	}
	return rep, recs, nil
}

// frame reads one of buntdb's frames: "*3 $3 set $N KEY $N VALUE", each part ended by CR LF.
func frame(b []byte) (r record, n int, err error) {
	if !bytes.HasPrefix(b, start) {
		return r, 0, errors.New("no record begins here")
	}
	n = len(start)
	key, err := bulk(b, &n, 64)
	if err != nil {
		return r, 0, err
	}
	text, err := bulk(b, &n, MaxRecord+headerSize)
	if err != nil {
		return r, 0, err
	}
	r.key = string(key)
	r.number, r.val, err = decode(r.key, text)
	return r, n, err
}

func bulk(b []byte, at *int, most int) ([]byte, error) {
	rest := b[*at:]
	i := bytes.Index(rest[:min(len(rest), 24)], []byte("\r\n"))
	if i < 2 || rest[0] != '$' {
		return nil, errors.New("a record is torn")
	}
	n, err := strconv.Atoi(string(rest[1:i]))
	if err != nil || n < 0 || n > most || len(rest) < i+2+n+2 || rest[i+2+n] != '\r' || rest[i+3+n] != '\n' {
		return nil, errors.New("a record is torn")
	}
	*at += i + 2 + n + 2
	return rest[i+2 : i+2+n], nil
}
