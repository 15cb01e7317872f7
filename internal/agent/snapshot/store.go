// Package snapshot keeps on disk what an agent has learned, so that its next life need not
// learn it again.
//
// It guarantees that nothing torn is believed: what is loaded is one whole generation as it
// was saved, or what is left of it when damaged records are dropped by their checksums, or
// the generation before, or nothing. It never keeps an agent from starting: a file that can't
// be used is set aside under a name that says why. It does not guarantee that the last save
// is there after a power loss, nor that what is loaded is still true: each generation comes
// with its age, and the reader decides.
//
// A generation is one transaction of bbolt, which syncs it; two are kept, and the checksums
// here are over records and whole generations all the same, since a disk may lie.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

const (
	// File is the store's name in its folder.
	File = "state.db"
	// MaxFile bounds a file that is opened, in bytes, and maxRecord a record.
	MaxFile, maxRecord = 64 << 20, 1 << 20
	// maxRecords bounds the records of a generation.
	maxRecords = 100_000
	// maxSetAside is how many files that were set aside are kept.
	maxSetAside = 3
	// lockTimeout is how long another holder of the folder is waited for.
	lockTimeout = 500 * time.Millisecond
	// formatVersion is the version of generations and records.
	formatVersion = 1
)

// The two generations, and the record that ends one.
var (
	generations = [2][]byte{[]byte("a"), []byte("b")}
	footerKey   = []byte("\xffend")
)

// ErrLocked is a folder that another process uses.
var ErrLocked = errors.New("used by another process")

// Tables are named records of named tables.
type Tables map[string]map[string]Record

// Record is a value with the version of its table's form.
type Record struct {
	Version uint16
	Value   []byte
}

// Problem is something that was not believed.
type Problem struct {
	Where  string // generation, table and key, as far as it goes
	Reason string
}

func (p Problem) String() string { return p.Where + ": " + p.Reason }

// Generation is what was saved at one moment.
type Generation struct {
	Seq      uint64
	Runs     uint64 // lives of the agent up to it
	Age      time.Duration
	AgeKnown bool // whether the age is known; if not it is the largest there is
	Complete bool // nothing of it was dropped
	Tables   Tables
}

// footer ends a generation.
type footer struct {
	seq, runs, count, checksum uint64
	clock                      Clock
}

const footerSize = 2 + 4*8 + 8 + 16

// Store is an open folder. One goroutine uses it.
type Store struct {
	dir string
	db  *bbolt.DB
	now func() Clock
	seq uint64
	// Runs counts the lives of the agent, this one included.
	Runs uint64
}

// Open opens a folder, makes it if it is missing, and loads the newest generation that can be
// believed; nil if there is none. Problems name all that was not. An error is a folder that
// can't be used at all: the agent then goes on without one.
func Open(dir string, now func() Clock) (s *Store, g *Generation, problems []Problem, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, nil, fmt.Errorf("durable: %w", err)
	}
	path := filepath.Join(dir, File)
	s, g, why, err := open(dir, now, &problems, false)
	if err != nil && why == "" {
		return nil, nil, problems, err
	}
	if err == nil && len(problems) == 0 {
		return s, g, nil, nil
	}
	// Nothing is written into a file that is not sound: what can be believed moves to a new one.
	if err != nil {
		problems = append(problems, Problem{File, err.Error()})
	} else {
		why = "damaged"
		if err := s.Close(); err != nil {
			return nil, nil, problems, err
		}
	}
	aside, err := setAside(path, why)
	if err != nil {
		return nil, nil, problems, err
	}
	problems = append(problems, Problem{File, "set aside as " + filepath.Base(aside)})
	fresh, _, _, err := open(dir, now, new([]Problem), false)
	if err != nil {
		return nil, nil, problems, err
	}
	if g != nil {
		fresh.seq, fresh.Runs = s.seq, s.Runs
		if err := fresh.restore(g); err != nil {
			return nil, nil, problems, errors.Join(err, fresh.Close())
		}
	}
	return fresh, g, problems, nil
}

// Inspect loads without changing anything, for operators.
func Inspect(dir string, now func() Clock) (g *Generation, problems []Problem, err error) {
	s, g, _, err := open(dir, now, &problems, true)
	if err != nil {
		return nil, problems, err
	}
	return g, problems, s.Close()
}

// RecoverFaults does what reads or writes the file's pages. A damaged file makes the library panic,
// and one that is shorter than its pages say is a fault of memory: both are an error here.
func RecoverFaults(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("damaged: %v", p)
		}
	}()
	return do()
}

// open is Open without a second try; why names what is wrong with a file to set aside.
func open(dir string, now func() Clock, problems *[]Problem, readOnly bool) (s *Store, g *Generation, why string, err error) {
	path := filepath.Join(dir, File)
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist) && !readOnly:
	case err != nil:
		return nil, nil, "", fmt.Errorf("durable: %w", err)
	case !info.Mode().IsRegular():
		return nil, nil, "", fmt.Errorf("durable: %s: not a file", path)
	case info.Size() > MaxFile:
		return nil, nil, "too-large", fmt.Errorf("durable: %s: %d bytes, at most %d", path, info.Size(), MaxFile)
	}
	// The free list is kept in the file: without it the library walks all pages at the start,
	// on a goroutine of its own, where a damaged page ends the process.
	var db *bbolt.DB
	err = RecoverFaults(func() (err error) {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, FreelistType: bbolt.FreelistMapType})
		return err
	})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, nil, "", fmt.Errorf("durable: %s: %w", path, ErrLocked)
	}
	if err != nil {
		if errors.Is(err, fs.ErrPermission) || errors.Is(err, errReadOnlyFileSystem) {
			return nil, nil, "", fmt.Errorf("durable: %w", err)
		}
		return nil, nil, "damaged", fmt.Errorf("durable: %s: %w", path, err)
	}
	s = &Store{dir: dir, db: db, now: now}
	defer func() {
		if err != nil {
			db.Close()
		}
	}()
	var all []*Generation
	newer := false
	for _, name := range generations { // each by itself: one may be damaged, and not the other
		bad := RecoverFaults(func() error {
			return db.View(func(tx *bbolt.Tx) error {
				b := tx.Bucket(name)
				if b == nil {
					return nil
				}
				x, found, bad := readGeneration(string(name), b, now())
				*problems = append(*problems, bad...)
				newer = newer || slices.ContainsFunc(bad, func(p Problem) bool { return p.Reason == reasonOtherVersion })
				if found {
					all = append(all, x)
				}
				return nil
			})
		})
		if bad != nil {
			*problems = append(*problems, Problem{"generation " + string(name), bad.Error()})
		}
	}
	if newer && len(all) == 0 {
		return nil, nil, "newer-version", fmt.Errorf("durable: %s: %s", path, reasonOtherVersion)
	}
	for _, x := range all {
		s.seq, s.Runs = max(s.seq, x.Seq), max(s.Runs, x.Runs)
		if g == nil || preferred(x, g) {
			g = x
		}
	}
	s.Runs++
	return s, g, "", nil
}

// preferred tells whether a generation is to be believed before another: a whole one before one
// of which records were dropped, then the newer.
func preferred(x, y *Generation) bool {
	if x.Complete != y.Complete {
		return x.Complete
	}
	return x.Seq > y.Seq
}

// Close ends the use of the folder.
func (s *Store) Close() error {
	if err := s.db.Close(); err != nil {
		return fmt.Errorf("durable: %w", err)
	}
	return nil
}

// Save writes a generation over the older of the two, and returns when the disk has it.
func (s *Store) Save(t Tables) error { return s.save(t, s.Runs, s.now()) }

// restore saves a generation again, as old as it is.
func (s *Store) restore(g *Generation) error {
	then := Clock{}
	if g.AgeKnown {
		then = s.now()
		then.Uptime -= g.Age
	}
	return s.save(g.Tables, g.Runs, then)
}

func (s *Store) save(t Tables, boot uint64, at Clock) error {
	f := footer{seq: s.seq + 1, runs: boot, clock: at}
	name := generations[f.seq%2]
	err := RecoverFaults(func() error {
		return s.db.Update(func(tx *bbolt.Tx) error {
			if err := tx.DeleteBucket(name); err != nil && !errors.Is(err, bolterrors.ErrBucketNotFound) {
				return err
			}
			b, err := tx.CreateBucket(name)
			if err != nil {
				return err
			}
			b.FillPercent = 0.9 // written once, in order
			sum := xxhash.New()
			for _, table := range sortedKeys(t) {
				sub, err := b.CreateBucket([]byte(table))
				if err != nil {
					return err
				}
				for _, key := range sortedKeys(t[table]) {
					if f.count++; f.count > maxRecords {
						return fmt.Errorf("over %d records", maxRecords)
					}
					raw := encodeRecord(f.seq, table, key, t[table][key])
					if len(raw) > maxRecord {
						return fmt.Errorf("%s %q: over %d bytes", table, key, maxRecord)
					}
					sum.Write(raw)
					if err := sub.Put([]byte(key), raw); err != nil {
						return err
					}
				}
			}
			f.checksum = sum.Sum64()
			return b.Put(footerKey, f.bytes())
		})
	})
	if err != nil {
		return fmt.Errorf("durable: save: %w", err)
	}
	s.seq = f.seq
	return nil
}

// encodeRecord is a record as it is kept: format, version of its table, value, and a checksum over
// these, its place and its generation, so that what belongs elsewhere is not believed.
func encodeRecord(seq uint64, table, key string, r Record) []byte {
	raw := binary.BigEndian.AppendUint16(nil, formatVersion)
	raw = binary.BigEndian.AppendUint16(raw, r.Version)
	raw = append(raw, r.Value...)
	return binary.BigEndian.AppendUint64(raw, checksum(seq, table, key, raw))
}

func checksum(seq uint64, table, key string, raw []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(fmt.Sprintf("%d %q %q ", seq, table, key)) // a hash takes all
	_, _ = h.Write(raw)
	return h.Sum64()
}

// decodeRecord is the record again, or why it is not believed.
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

func (f *footer) bytes() []byte {
	raw := binary.BigEndian.AppendUint16(nil, formatVersion)
	for _, v := range []uint64{f.seq, f.runs, f.count, f.checksum, uint64(f.clock.Uptime)} {
		raw = binary.BigEndian.AppendUint64(raw, v)
	}
	raw = append(raw, f.clock.Boot[:]...)
	return binary.BigEndian.AppendUint64(raw, checksum(0, "", "", raw))
}

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

// readGeneration takes a generation, and names what of it is not believed. One without a sound end is
// not a generation: it cannot tell what belongs to it.
func readGeneration(name string, b *bbolt.Bucket, now Clock) (g *Generation, found bool, bad []Problem) {
	f, why := parseFooter(b.Get(footerKey))
	if why != "" {
		return nil, false, []Problem{{"generation " + name, why}}
	}
	g = &Generation{Seq: f.seq, Runs: f.runs, Tables: Tables{}}
	g.Age, g.AgeKnown = now.Since(f.clock)
	sum, count := xxhash.New(), uint64(0)
	err := b.ForEachBucket(func(k []byte) error {
		table, sub := string(k), b.Bucket(k)
		return sub.ForEach(func(k, raw []byte) error {
			if count++; count > maxRecords {
				return fmt.Errorf("over %d records", maxRecords)
			}
			_, _ = sum.Write(raw)
			r, why := decodeRecord(f.seq, table, string(k), raw)
			if why != "" {
				bad = append(bad, Problem{fmt.Sprintf("generation %s, %s %q", name, table, k), why})
				return nil
			}
			if g.Tables[table] == nil {
				g.Tables[table] = map[string]Record{}
			}
			g.Tables[table][string(k)] = r
			return nil
		})
	})
	if err != nil {
		return nil, false, append(bad, Problem{"generation " + name, err.Error()})
	}
	g.Complete = count == f.count && sum.Sum64() == f.checksum
	if !g.Complete {
		bad = append(bad, Problem{"generation " + name, fmt.Sprintf("%d of %d records are sound", count-uint64(len(bad)), f.count)})
	}
	return g, g.Complete || len(g.Tables) > 0, bad
}

// setAside moves a file away under a name with the reason, and forgets the oldest such.
func setAside(path, why string) (string, error) {
	for i := 1; ; i++ {
		to := fmt.Sprintf("%s.%s-%d", path, why, i)
		if _, err := os.Lstat(to); err == nil {
			continue
		}
		if err := os.Rename(path, to); err != nil {
			return "", fmt.Errorf("durable: %w", err)
		}
		old, err := filepath.Glob(path + ".*-*")
		if err != nil || len(old) <= maxSetAside {
			return to, nil
		}
		slices.SortStableFunc(old, func(a, b string) int { return modificationTime(a).Compare(modificationTime(b)) })
		for _, o := range old[:len(old)-maxSetAside] {
			if o != to {
				_ = os.Remove(o) // it stays if it can't be removed
			}
		}
		return to, nil
	}
}

func modificationTime(path string) time.Time {
	if info, err := os.Stat(path); err == nil {
		return info.ModTime()
	}
	return time.Time{}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// unknownAge is the age of what cannot be dated.
const unknownAge = time.Duration(math.MaxInt64)

// VerifyFile reads all of a bbolt file that another package keeps, so that what can't be read is
// an error here: later, on a goroutine of a library's own, it would end the process. It holds
// the file's lock meanwhile.
func VerifyFile(path string) error {
	err := RecoverFaults(func() error {
		db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, PreLoadFreelist: true, Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
		if err != nil {
			return err
		}
		defer db.Close()
		sum := xxhash.New()
		var walk func(b *bbolt.Bucket) error
		walk = func(b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				_, _ = sum.Write(k) // a hash takes all
				_, _ = sum.Write(v)
				if v != nil {
					return nil
				}
				if sub := b.Bucket(k); sub != nil {
					return walk(sub)
				}
				return errors.New("a bucket is no bucket")
			})
		}
		return db.View(func(tx *bbolt.Tx) error {
			return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error { return walk(b) })
		})
	})
	if err != nil {
		return fmt.Errorf("durable: %s: %w", path, err)
	}
	return nil
}
