// Package snapshot stores on disk what an agent has learned, so that its next run need not learn it
// again.
//
// Damaged data is never returned. The loaded data is the newest complete generation; if none is complete,
// it is the newest generation without the records whose checksum is wrong, or nothing. An unusable file
// never prevents the start of an agent: it is set aside, which means renamed to a name that contains the
// reason. The package does not guarantee that the last save survives a power loss, or that the loaded data
// is still valid. Each generation has an age, by which the caller decides whether to use it.
//
// A generation is the data of one save. It is written in one bbolt transaction, which syncs the file. The
// file holds two generations. Records and generations have checksums of their own, as a disk may return
// wrong data.
package snapshot

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

const (
	// File is the name of the file in its directory.
	File = "state.db"
	// MaxFile is the largest size of a file that is opened, and maxRecord the largest size of a record, in
	// bytes.
	MaxFile, maxRecord = 64 << 20, 1 << 20
	// maxRecords is the largest number of records in a generation.
	maxRecords = 100_000
	// maxSetAside is the number of set-aside files that are retained.
	maxSetAside = 3
	// lockTimeout is how long Open waits for another process that has the file open.
	lockTimeout = 500 * time.Millisecond
	// formatVersion is the version of the encoding of generations and records.
	formatVersion = 1
)

// The buckets of the two generations, and the key of the footer that completes one.
var (
	generations = [2][]byte{[]byte("a"), []byte("b")}
	footerKey   = []byte("\xffend")
)

// ErrLocked reports that another process uses the directory.
var ErrLocked = errors.New("used by another process")

// Tables holds records by the name of their table and by their key.
type Tables map[string]map[string]Record

// Record is a value in the encoding of its table.
type Record struct {
	Version uint16 // version of that encoding
	Value   []byte
}

// Problem describes data that was rejected.
type Problem struct {
	Where  string // generation, table and key, as far as known
	Reason string
}

// String returns the place and the reason.
func (p Problem) String() string { return p.Where + ": " + p.Reason }

// Generation is the data of one save.
type Generation struct {
	Seq      uint64        // sequence number of the save, the first is 1
	Runs     uint64        // number of runs of the agent, including the one that saved it
	Age      time.Duration // time since the save; the largest duration if AgeKnown is false
	AgeKnown bool
	Complete bool // true if no record was dropped
	Tables   Tables
}

// Store is an open directory. It is not safe for concurrent use.
type Store struct {
	dir string
	db  *bbolt.DB
	now func() Clock
	seq uint64 // sequence number of the newest generation; 0 if there is none
	// Runs is the number of runs of the agent, including the current one.
	Runs uint64
}

// Open opens a directory, creates it if it is missing, and loads the newest complete generation, or the
// newest one if none is complete; g is nil if there is none. The problems describe all rejected data. After
// an error the directory can't be used, and the agent continues without it.
func Open(dir string, now func() Clock) (s *Store, g *Generation, problems []Problem, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, nil, fmt.Errorf("snapshot: %w", err)
	}
	path := filepath.Join(dir, File)
	s, g, reason, err := open(dir, now, &problems, false)
	if err != nil && reason == "" {
		return nil, nil, problems, err
	}
	if err == nil && len(problems) == 0 {
		return s, g, nil, nil
	}
	// A damaged file is never written to: its valid records are copied to a new one.
	if err != nil {
		problems = append(problems, Problem{File, err.Error()})
	} else {
		reason = "damaged"
		if err := s.Close(); err != nil {
			return nil, nil, problems, err
		}
	}
	aside, err := setAside(path, reason)
	if err != nil {
		return nil, nil, problems, err
	}
	problems = append(problems, Problem{File, "set aside as " + filepath.Base(aside)})
	newStore, _, _, err := open(dir, now, new([]Problem), false)
	if err != nil {
		return nil, nil, problems, err
	}
	if g != nil {
		newStore.seq, newStore.Runs = s.seq, s.Runs
		if err := newStore.restore(g); err != nil {
			return nil, nil, problems, errors.Join(err, newStore.Close())
		}
	}
	return newStore, g, problems, nil
}

// Inspect loads the same generation as Open, but changes no file. It is for operators.
func Inspect(dir string, now func() Clock) (g *Generation, problems []Problem, err error) {
	s, g, _, err := open(dir, now, &problems, true)
	if err != nil {
		return nil, problems, err
	}
	return g, problems, s.Close()
}

// open is Open without the replacement of a damaged file. If it fails because of a file that should be set
// aside, reason is the reason for its new name; otherwise reason is empty.
func open(dir string, now func() Clock, problems *[]Problem, readOnly bool) (
	s *Store, g *Generation, reason string, err error,
) {
	path := filepath.Join(dir, File)
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist) && !readOnly:
	case err != nil:
		return nil, nil, "", fmt.Errorf("snapshot: %w", err)
	case !info.Mode().IsRegular():
		return nil, nil, "", fmt.Errorf("snapshot: %s: not a regular file", path)
	case info.Size() > MaxFile:
		return nil, nil, "too-large",
			fmt.Errorf("snapshot: %s: size is %d bytes, limit is %d", path, info.Size(), MaxFile)
	}
	// The free list is stored in the file. Without it, bbolt would read all pages when it opens the file, on
	// a goroutine of its own, where the panic on a damaged page can't be recovered and ends the process.
	var db *bbolt.DB
	err = RecoverFaults(func() (err error) {
		db, err = bbolt.Open(path, 0o600,
			&bbolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, FreelistType: bbolt.FreelistMapType})
		return err
	})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, nil, "", fmt.Errorf("snapshot: %s: %w", path, ErrLocked)
	}
	if err != nil {
		if errors.Is(err, fs.ErrPermission) || errors.Is(err, errReadOnlyFileSystem) {
			return nil, nil, "", fmt.Errorf("snapshot: %w", err)
		}
		return nil, nil, "damaged", fmt.Errorf("snapshot: %s: %w", path, err)
	}
	s = &Store{dir: dir, db: db, now: now}
	defer func() {
		if err != nil {
			db.Close()
		}
	}()
	var loaded []*Generation
	otherVersion := false
	// The generations are read in separate transactions, as one may be damaged and the other not.
	for _, name := range generations {
		readErr := RecoverFaults(func() error {
			return db.View(func(tx *bbolt.Tx) error {
				b := tx.Bucket(name)
				if b == nil {
					return nil
				}
				x, found, rejected := readGeneration(string(name), b, now())
				*problems = append(*problems, rejected...)
				otherVersion = otherVersion ||
					slices.ContainsFunc(rejected, func(p Problem) bool { return p.Reason == reasonOtherVersion })
				if found {
					loaded = append(loaded, x)
				}
				return nil
			})
		})
		if readErr != nil {
			*problems = append(*problems, Problem{"generation " + string(name), readErr.Error()})
		}
	}
	if otherVersion && len(loaded) == 0 {
		return nil, nil, "newer-version", fmt.Errorf("snapshot: %s: %s", path, reasonOtherVersion)
	}
	for _, x := range loaded {
		s.seq, s.Runs = max(s.seq, x.Seq), max(s.Runs, x.Runs)
		if g == nil || preferred(x, g) {
			g = x
		}
	}
	s.Runs++
	return s, g, "", nil
}

// preferred reports whether generation x is preferred to y: a complete one is preferred to an incomplete
// one, and otherwise the newer one.
func preferred(x, y *Generation) bool {
	if x.Complete != y.Complete {
		return x.Complete
	}
	return x.Seq > y.Seq
}

// Close closes the file and releases its lock.
func (s *Store) Close() error {
	if err := s.db.Close(); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// Save replaces the older of the two generations and returns once the new one is durable.
func (s *Store) Save(t Tables) error { return s.save(t, s.Runs, s.now()) }

// restore saves a generation that was loaded from another file, and keeps its age.
func (s *Store) restore(g *Generation) error {
	then := Clock{}
	if g.AgeKnown {
		then = s.now()
		then.Uptime -= g.Age
	}
	return s.save(g.Tables, g.Runs, then)
}

func (s *Store) save(t Tables, runs uint64, at Clock) error {
	f := footer{seq: s.seq + 1, runs: runs, clock: at}
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
			b.FillPercent = 0.9 // the keys are written once, in order
			sum := xxhash.New()
			for _, table := range sortedKeys(t) {
				sub, err := b.CreateBucket([]byte(table))
				if err != nil {
					return err
				}
				for _, key := range sortedKeys(t[table]) {
					if f.count++; f.count > maxRecords {
						return fmt.Errorf("more than %d records", maxRecords)
					}
					raw := encodeRecord(f.seq, table, key, t[table][key])
					if len(raw) > maxRecord {
						return fmt.Errorf("%s %q: larger than %d bytes", table, key, maxRecord)
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
		return fmt.Errorf("snapshot: save: %w", err)
	}
	s.seq = f.seq
	return nil
}

// readGeneration reads a generation and describes its rejected data. Without a valid footer nothing is
// found, as it is not known which records belong to the generation.
func readGeneration(name string, b *bbolt.Bucket, now Clock) (g *Generation, found bool, problems []Problem) {
	f, reason := parseFooter(b.Get(footerKey))
	if reason != "" {
		return nil, false, []Problem{{"generation " + name, reason}}
	}
	g = &Generation{Seq: f.seq, Runs: f.runs, Tables: Tables{}}
	g.Age, g.AgeKnown = now.Since(f.clock)
	sum, count := xxhash.New(), uint64(0)
	err := b.ForEachBucket(func(k []byte) error {
		table, sub := string(k), b.Bucket(k)
		return sub.ForEach(func(k, raw []byte) error {
			if count++; count > maxRecords {
				return fmt.Errorf("more than %d records", maxRecords)
			}
			_, _ = sum.Write(raw)
			r, reason := decodeRecord(f.seq, table, string(k), raw)
			if reason != "" {
				problems = append(problems, Problem{fmt.Sprintf("generation %s, %s %q", name, table, k), reason})
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
		return nil, false, append(problems, Problem{"generation " + name, err.Error()})
	}
	g.Complete = count == f.count && sum.Sum64() == f.checksum
	if !g.Complete {
		problems = append(problems, Problem{
			"generation " + name, fmt.Sprintf("%d of %d records are valid", count-uint64(len(problems)), f.count),
		})
	}
	return g, g.Complete || len(g.Tables) > 0, problems
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// unknownAge stands for an age that is not known.
const unknownAge = time.Duration(math.MaxInt64)
