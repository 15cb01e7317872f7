package store

import (
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/tidwall/buntdb"
)

const (
	// FileName is the name of the state file in its folder.
	FileName        = "state.db"
	compactFileName = "state.new"
	damagedFileName = "state.damaged"

	// MaxFile is the size of the largest file that is read, in bytes.
	MaxFile = 48 << 20
	// MaxRecord is the size of the largest record, in bytes.
	MaxRecord = 8 << 20

	// maxKey is the length of the longest name of a record, in bytes.
	maxKey = 64
	// maxPending is the maximum number of operations that wait for the disk.
	maxPending = 64
	// closeTimeout is how long Close waits for a stalled disk.
	closeTimeout = time.Second
	// probeKey is the name of the record that Probe writes.
	probeKey = "probe"
)

var (
	// ErrClosed is returned by operations after Close.
	ErrClosed = errors.New("the store of state-dir is closed")
	// ErrBusy is returned by operations while too many others wait for the disk.
	ErrBusy = errors.New("too many operations wait for the disk of state-dir: it is stalled or too slow")
)

// Store holds the newest record of each name. It is safe for concurrent use. After Open, a worker
// goroutine does all disk I/O.
type Store struct {
	dir        string // directory of the state file; empty if the records are kept in memory only
	operations chan operation
	stopped    chan struct{} // closed when Close no longer waits for the worker
	worker     sync.WaitGroup

	mu            sync.Mutex
	submitTimes   []time.Time // submission times of the operations in progress, oldest first
	failingSince  time.Time   // time of the first failure since the last successful write; zero if there was none
	hasWritten    bool        // whether a write has succeeded since Open
	lastErr       error       // error of the last operation; nil if it succeeded
	compactionErr error       // error of the last compaction; nil if it succeeded
	closed        bool

	// After Open, only the worker uses the fields below.
	db          *buntdb.DB
	file        *os.File          // a second handle of db's file, used to sync it
	records     map[string]string // newest value of each name
	size        int64             // size of the file in bytes
	nextNumber  uint64            // sequence number of the next record
	needsReload bool              // whether the file may differ from records and has to be loaded before the next write
}

// operation is a write or a query that the worker executes.
type operation struct {
	key   string
	value []byte
	query func() error // function to run instead of a write; nil for a write
	done  chan error   // receives the result; has capacity 1
}

// Open opens the store of a directory, which it creates if necessary. If dir is empty, the records are
// kept in memory only. The report says what was cut off or set aside. Open fails only if the file can't
// be read. If the disk accepts no writes, Health and the first Put report it.
func Open(dir string) (*Store, Report, error) {
	s := &Store{
		dir:        dir,
		operations: make(chan operation, maxPending),
		stopped:    make(chan struct{}),
		records:    map[string]string{},
		nextNumber: 1,
	}
	var report Report
	if dir != "" {
		var err error
		if report, err = s.load(); err != nil {
			if _, _, readErr := scan(s.path(FileName)); readErr != nil {
				return nil, report, err
			}
			s.lastErr, s.failingSince = err, time.Now()
		}
	}
	s.worker.Add(1)
	go s.run()
	return s, report, nil
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// Put persists a record. It returns once the record is on disk, however long that takes. If it returns
// an error, the record may be on disk or not.
func (s *Store) Put(key string, value []byte) error {
	if len(key) > maxKey || len(value) > MaxRecord {
		return errors.Errorf("record %s has %d bytes: at most %d", key, len(value), MaxRecord)
	}
	return s.submit(operation{key: key, value: value, done: make(chan error, 1)})
}

// Probe writes a small record to find out whether the disk accepts writes.
func (s *Store) Probe() error { return s.Put(probeKey, nil) }

// Scrub compares the file with what was written, and compacts it if it differs. It reports whether the
// file was intact.
func (s *Store) Scrub() (intact bool, err error) {
	err = s.query(func() error {
		intact, err = s.scrub()
		return err
	})
	return intact, err
}

// Get returns the newest record of a name, or nil if there is none. It must not be called while a Put of
// that name is in progress. If the store is closed or busy, found is false as well.
func (s *Store) Get(key string) (value []byte, found bool) {
	err := s.query(func() error {
		if record, recorded := s.records[key]; recorded {
			value, found = []byte(record), true
		}
		return nil
	})
	return value, found && err == nil
}

// query makes the worker run a function instead of writing a record.
func (s *Store) query(run func() error) error {
	return s.submit(operation{query: run, done: make(chan error, 1)})
}

// submit passes an operation to the worker and waits for it.
func (s *Store) submit(o operation) error {
	if err := s.enqueue(o); err != nil {
		return err
	}
	select {
	case err := <-o.done:
		return err
	case <-s.stopped:
		return ErrClosed
	}
}

func (s *Store) enqueue(o operation) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	select {
	case s.operations <- o:
		s.submitTimes = append(s.submitTimes, time.Now())
		return nil
	default:
		return ErrBusy
	}
}

// Close closes the store once the pending operations are done. If the disk is stalled, Close returns
// after closeTimeout.
func (s *Store) Close() {
	s.mu.Lock()
	wasClosed := s.closed
	s.closed = true
	if !wasClosed {
		close(s.operations)
	}
	s.mu.Unlock()

	done := make(chan struct{})
	go func() { // runs until the worker ends, which may be after Close has returned
		s.worker.Wait()
		close(done)
	}()
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
	}
	if !wasClosed {
		close(s.stopped)
	}
}

// run executes the operations in the worker goroutine until the store is closed.
func (s *Store) run() {
	defer s.worker.Done()
	defer s.closeFile()
	for o := range s.operations {
		err := s.execute(o)
		s.recordOutcome(o, err)
		o.done <- err
		s.compactIfLarge()
	}
}

func (s *Store) execute(o operation) error {
	if o.query != nil {
		return o.query()
	}
	if s.dir == "" {
		s.records[o.key] = string(o.value)
		return nil
	}
	if s.needsReload {
		s.closeFile()
		if _, err := s.load(); err != nil {
			return err
		}
	}
	return s.write(o.key, o.value)
}
