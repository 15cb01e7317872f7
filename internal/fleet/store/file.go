package store

import (
	"os"

	"github.com/go-faster/errors"
	"github.com/tidwall/buntdb"
)

// load reads, repairs and opens the file. If the file can be read but not repaired or opened, the
// records are loaded and needsReload stays set, so that the next Put loads the file again.
func (s *Store) load() (Report, error) {
	s.needsReload = true
	report, records, err := scan(s.path(FileName))
	if err != nil {
		return report, err
	}
	if report.Damaged {
		records = nil
	}
	s.records, s.nextNumber = map[string]string{}, 1
	for _, r := range records {
		s.records[r.key] = string(r.value)
		s.nextNumber = r.number + 1
	}
	if err := s.repair(report); err != nil {
		s.closeFile()
		return report, err
	}
	s.needsReload = false
	return report, nil
}

// repair sets a damaged file aside or cuts off a torn tail, and then opens and syncs the file.
func (s *Store) repair(report Report) error {
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return errors.Wrap(err, "create the directory of state-dir")
	}
	_ = os.Remove(s.path(compactFileName)) // left by an interrupted compaction; the next one removes it, too
	path := s.path(FileName)
	s.size = report.Bytes
	switch {
	case report.Damaged:
		if err := os.Rename(path, s.path(damagedFileName)); err != nil {
			return errors.Wrap(err, "set the damaged state file aside")
		}
		s.size = 0
	case report.TornBytes > 0:
		if err := truncate(path, report.Bytes); err != nil {
			return errors.Wrap(err, "cut off the torn tail of the state file")
		}
	}
	if err := s.openFile(path); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return errors.Wrap(err, "sync the state file")
	}
	return s.syncDirectory()
}

// openFile opens a file whose records are intact, or creates it.
func (s *Store) openFile(path string) error {
	db, err := openDB(path)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		_ = db.Close()
		return errors.Wrap(err, "open the state file")
	}
	s.db, s.file = db, file
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

func (s *Store) closeFile() {
	if s.db != nil {
		_ = s.db.Close() // an error of its sync does not matter: each record was synced when it was written
		_ = s.file.Close()
		s.db, s.file = nil, nil
	}
}

// write appends a record and syncs it. After an error the file is loaded again before the next write.
func (s *Store) write(key string, value []byte) error {
	text := encode(key, s.nextNumber, value)
	if err := set(s.db, key, text); err != nil {
		s.needsReload = true
		return errors.Wrap(err, "write to the disk of state-dir (free some space on it)")
	}
	if err := s.file.Sync(); err != nil {
		s.needsReload = true
		return errors.Wrap(err, "sync the disk of state-dir")
	}
	s.records[key] = text[headerSize:]
	s.size += frameSize(key, len(text))
	s.nextNumber++
	return nil
}

// set writes a record to buntdb, and turns its panic into an error: buntdb panics if it can't undo a
// partial write.
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

func truncate(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

// syncDirectory syncs the directory, so that renames survive a power loss.
func (s *Store) syncDirectory() error {
	directory, err := os.Open(s.dir)
	if err == nil {
		defer directory.Close()
		err = directory.Sync()
	}
	if err != nil {
		return errors.Wrap(err, "sync the directory of state-dir")
	}
	return nil
}
