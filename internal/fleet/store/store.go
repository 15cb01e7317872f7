// Package store keeps a few named records on disk, the newest of each, in a buntdb file.
//
// Guaranteed: Put returns nil once the record outlives a loss of power. What Open gives back is,
// for each name, the record of the last Put that returned nil, or of one after it whose caller was
// told of an error or nothing at all. Each record carries a format version, its number and a
// checksum of its own; a torn tail is cut, since only the last write can be torn: the next is made
// after the sync of the one before. Where a record is damaged that was followed by others, the file
// is set aside as state.damaged and the store is empty: its owner is a newcomer then.
// The file is bounded by about five times what its records hold, and one more copy while it is
// rewritten.
//
// buntdb ignores the errors of its own syncs and its Shrink neither syncs the new file nor the
// folder, so the syncs and the rewriting are done here; its sync policy is Never.
package store

import (
	"encoding/binary"
	"hash/crc64"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/tidwall/buntdb"
)

const (
	fileName    = "state.db"
	newName     = "state.new"
	damagedName = "state.damaged"

	// MaxFile bounds a file that is read, in bytes; MaxRecord a record.
	MaxFile, MaxRecord = 48 << 20, 8 << 20

	format     = 1
	headerSize = 1 + 8 + 8 // format, number, checksum
	maxQueue   = 64
	// slack is how much a file may grow beyond four times its records before it is rewritten.
	slack = 512 << 10
	// closeWait bounds how long Close waits for a disk that is stalled.
	closeWait = time.Second
	probeKey  = "probe"
)

var table = crc64.MakeTable(crc64.ECMA)

// The kinds of errors of a store.
var (
	ErrClosed = errors.New("the state's disk is closed")
	ErrBusy   = errors.New("too many operations wait for the state's disk: it is stalled or too slow")
)

// Store is safe for concurrent use. One goroutine of its own does all disk work after Open.
type Store struct {
	dir        string // "": in memory
	operations chan operation
	end        chan struct{}
	wg         sync.WaitGroup

	mu      sync.Mutex
	waiting []time.Time // when the operations under way were asked for, oldest first
	failing time.Time   // since when each operation has failed; zero: the last one was good
	good    bool        // an operation of this life was good
	last    error
	warn    error // of the last rewriting
	closed  bool

	// Of the goroutine.
	db    *buntdb.DB
	file  *os.File // the same file, for its syncs
	live  map[string]string
	size  int64  // of the file
	next  uint64 // number of the next record
	stale bool   // the file may hold other than live: read it anew first
}

type operation struct {
	key   string
	value []byte
	query func() error
	done  chan error
}

// Open reads the store of a folder, which it makes if it has to. With dir "" the records are kept
// in memory. The report says what was cut or set aside. It fails only where the file can't be read;
// a disk that takes no writes shows with the first Put.
func Open(dir string) (*Store, Report, error) {
	s := &Store{dir: dir, operations: make(chan operation, maxQueue), end: make(chan struct{}), live: map[string]string{}, next: 1}
	var rep Report
	if dir != "" {
		var err error
		if rep, err = s.load(); err != nil {
			if _, _, unread := scan(s.path(fileName)); unread != nil {
				return nil, rep, err
			}
			s.last, s.failing = err, time.Now()
		}
	}
	s.wg.Add(1)
	go s.run()
	return s, rep, nil
}

// load reads the folder's file, cuts or sets aside what is not whole, and opens it. Where only the
// reading went well the store is stale: its records count, and the next Put begins with a load.
func (s *Store) load() (Report, error) {
	s.stale = true
	path := s.path(fileName)
	rep, recs, err := scan(path)
	if err != nil {
		return rep, err
	}
	if rep.Damaged {
		recs = nil
	}
	s.live, s.next = map[string]string{}, 1
	for _, r := range recs {
		s.live[r.key] = string(r.val)
		s.next = r.number + 1
	}
	if err := s.mend(path, &rep); err != nil {
		s.detach()
		return rep, err
	}
	s.stale = false
	return rep, nil
}

func (s *Store) mend(path string, rep *Report) error {
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return errors.Wrap(err, "make the folder of state-dir")
	}
	_ = os.Remove(s.path(newName)) // what a rewriting left; the next one would replace it
	s.size = rep.Bytes
	switch {
	case rep.Damaged:
		if err := os.Rename(path, s.path(damagedName)); err != nil {
			return errors.Wrap(err, "set the damaged state file aside")
		}
		s.size = 0
	case rep.TornBytes > 0:
		if err := truncate(path, rep.Bytes); err != nil {
			return errors.Wrap(err, "cut the torn tail of the state file")
		}
	}
	if err := s.attach(path); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return errors.Wrap(err, "sync the state file")
	}
	if err := syncDir(s.dir); err != nil {
		return errors.Wrap(err, "sync the folder of state-dir")
	}
	return nil
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// attach opens a checked file.
func (s *Store) attach(path string) error {
	db, err := openDB(path)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		_ = db.Close()
		return errors.Wrap(err, "open the state file")
	}
	s.db, s.file = db, f
	return nil
}

func openDB(path string) (*buntdb.DB, error) {
	db, err := buntdb.Open(path)
	if err != nil {
		return nil, errors.Wrapf(err, "open the state file %s", path)
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		_ = db.Close()
		return nil, errors.Wrap(err, "configure the state file")
	}
	return db, nil
}

func (s *Store) detach() {
	if s.db != nil {
		_ = s.db.Close() // its sync is of no account: records are synced one by one
		_ = s.file.Close()
		s.db, s.file = nil, nil
	}
}

// Put keeps a record. It returns once it is on disk, however long that takes; on an error the
// record may be there or not.
func (s *Store) Put(key string, val []byte) error {
	if len(key) > 64 || len(val) > MaxRecord {
		return errors.Errorf("record %s has %d bytes: at most %d", key, len(val), MaxRecord)
	}
	return s.submit(operation{key: key, value: val, done: make(chan error, 1)})
}

// Probe writes a small record, to learn whether the disk takes one.
func (s *Store) Probe() error { return s.Put(probeKey, nil) }

// Scrub reads the file back and rewrites it where it is not what was written. It tells whether it was.
func (s *Store) Scrub() (whole bool, err error) {
	err = s.submit(operation{done: make(chan error, 1), query: func() error { whole, err = s.sweep(); return err }})
	return whole, err
}

// Get is the newest record of a name. It must not be called before the Put of that name returned.
func (s *Store) Get(key string) ([]byte, bool) {
	var val []byte
	var ok bool
	err := s.submit(operation{done: make(chan error, 1), query: func() error { v, is := s.live[key]; val, ok = []byte(v), is; return nil }})
	return val, ok && err == nil
}

// Health is what a store's disk does.
type Health struct {
	OldestPending time.Duration `json:"Oldest"`  // age of the oldest operation that is not done
	FailingFor    time.Duration `json:"Failing"` // since when each operation has failed; 0: the last was good
	Written       bool          `json:"Good"`    // an operation was good since Open
	Err           error         `json:"Err"`     // of the last operation, or of the last rewriting of the file
}

// Health never waits for the disk.
func (s *Store) Health(now time.Time) Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := Health{Written: s.good, Err: s.last}
	if h.Err == nil {
		h.Err = s.warn
	}
	if len(s.waiting) > 0 {
		h.OldestPending = max(0, now.Sub(s.waiting[0]))
	}
	if !s.failing.IsZero() {
		h.FailingFor = max(1, now.Sub(s.failing))
	}
	return h
}

func (s *Store) submit(o operation) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	select {
	case s.operations <- o:
		s.waiting = append(s.waiting, time.Now())
	default:
		s.mu.Unlock()
		return ErrBusy
	}
	s.mu.Unlock()
	select {
	case err := <-o.done:
		return err
	case <-s.end:
		return ErrClosed
	}
}

// Close ends the store after the operations that wait. A stalled disk is not waited for.
func (s *Store) Close() {
	s.mu.Lock()
	was := s.closed
	if s.closed = true; !was {
		close(s.operations)
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }() // ends with the disk's last operation
	t := time.NewTimer(closeWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
	if !was {
		close(s.end)
	}
}

func (s *Store) run() {
	defer s.wg.Done()
	defer s.detach()
	for o := range s.operations {
		err := s.do(o)
		s.mu.Lock()
		s.waiting = s.waiting[1:]
		switch {
		case o.query != nil && err == nil: // a read says nothing of writes
		case err == nil:
			s.good, s.failing = true, time.Time{}
		case s.failing.IsZero():
			s.failing = time.Now()
		}
		s.last = err
		s.mu.Unlock()
		o.done <- err
		s.trim()
	}
}

func (s *Store) do(o operation) (err error) {
	if o.query != nil {
		return o.query()
	}
	if s.dir == "" {
		s.live[o.key] = string(o.value)
		return nil
	}
	if s.stale {
		s.detach()
		if _, err := s.load(); err != nil {
			return err
		}
	}
	return s.write(o.key, o.value)
}

// trim rewrites a file that has grown long, while nobody waits unless it is very long.
func (s *Store) trim() {
	most := slack + 4*s.records()
	if s.dir == "" || s.stale || s.size <= most || s.size <= 2*most && len(s.operations) > 0 {
		return
	}
	err := s.rewrite() // the records are safe; the file may stay long for now
	s.mu.Lock()
	s.warn = err
	s.mu.Unlock()
}

func (s *Store) records() (n int64) {
	for k, v := range s.live {
		n += int64(len(k) + len(v) + headerSize)
	}
	return n
}

// write appends a record and syncs it. After an error the file is read anew before the next one.
func (s *Store) write(key string, val []byte) error {
	text := encode(key, s.next, val)
	if err := set(s.db, key, text); err != nil {
		s.stale = true
		return errors.Wrap(err, "write to the disk of state-dir (make room on it)")
	}
	if err := s.file.Sync(); err != nil {
		s.stale = true
		return errors.Wrap(err, "sync the disk of state-dir")
	}
	s.live[key] = text[headerSize:]
	s.size += frameSize(key, len(text))
	s.next++
	return nil
}

// set writes a record by buntdb, which panics where it can't take half a record back.
func set(db *buntdb.DB, key, text string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("%v", p)
		}
	}()
	return db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(key, text, nil)
		return err
	})
}

// rewrite puts the newest records in a new file in place of the old one. Until its folder is
// synced either file may be found after a loss of power; both hold all that was acknowledged.
func (s *Store) rewrite() error {
	tmp := s.path(newName)
	_ = os.Remove(tmp)
	db, file, size, next := s.db, s.file, s.size, s.next
	fail := func(err error) error {
		s.detach()
		s.db, s.file, s.size, s.next = db, file, size, next
		_ = os.Remove(tmp)
		return errors.Wrap(err, "rewrite the state file")
	}
	s.db, s.file = nil, nil
	if err := s.attach(tmp); err != nil {
		return fail(err)
	}
	s.size = 0
	for key, val := range s.live {
		text := encode(key, s.next, []byte(val))
		if err := set(s.db, key, text); err != nil {
			return fail(err)
		}
		s.size += frameSize(key, len(text))
		s.next++
	}
	if err := s.file.Sync(); err != nil {
		return fail(err)
	}
	if err := os.Rename(tmp, s.path(fileName)); err != nil {
		return fail(err)
	}
	_ = db.Close()
	_ = file.Close()
	if err := syncDir(s.dir); err != nil {
		s.stale = true // the next Put syncs it or fails
		return errors.Wrap(err, "sync the folder of state-dir")
	}
	return nil
}

func (s *Store) sweep() (bool, error) {
	if s.dir == "" {
		return true, nil
	}
	rep, recs, err := scan(s.path(fileName))
	if err != nil {
		return false, err
	}
	got := map[string]string{}
	for _, r := range recs {
		got[r.key] = string(r.val)
	}
	whole := !rep.Damaged && rep.TornBytes == 0 && len(got) == len(s.live)
	for k, v := range s.live {
		whole = whole && got[k] == v
	}
	if whole || s.stale {
		return whole, nil
	}
	return false, s.rewrite()
}

// encode is a record as buntdb's value: format, number, checksum, the value itself.
func encode(key string, number uint64, val []byte) string {
	b := make([]byte, headerSize, headerSize+len(val))
	b[0] = format
	binary.BigEndian.PutUint64(b[1:], number)
	binary.BigEndian.PutUint64(b[9:], checksum(key, b[:9], val))
	return string(append(b, val...))
}

func decode(key string, text []byte) (number uint64, val []byte, err error) {
	switch {
	case len(text) < headerSize:
		return 0, nil, errors.Errorf("record %s is too short", key)
	case binary.BigEndian.Uint64(text[9:]) != checksum(key, text[:9], text[headerSize:]):
		return 0, nil, errors.Errorf("record %s does not have its checksum", key)
	case text[0] != format:
		return 0, nil, errors.Errorf("record %s has format %d: run the version that wrote it", key, text[0])
	}
	return binary.BigEndian.Uint64(text[1:]), text[headerSize:], nil
}

func checksum(key string, head, val []byte) uint64 {
	sum := crc64.Update(0, table, []byte(key))
	sum = crc64.Update(sum, table, head)
	return crc64.Update(sum, table, val)
}

func truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
