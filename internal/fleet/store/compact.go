package store

import (
	"maps"
	"os"

	"github.com/go-faster/errors"
)

const (
	// compactionFactor limits the size of a file to a multiple of the size of its records.
	compactionFactor = 4
	// compactionSlack is added to that limit, in bytes, so that small files are not compacted often.
	compactionSlack = 512 << 10
)

// compactIfLarge compacts the file if it exceeds its size limit and no operation is waiting. Above
// twice the limit, it compacts the file even while operations are waiting.
func (s *Store) compactIfLarge() {
	limit := compactionSlack + compactionFactor*s.recordBytes()
	if s.dir == "" || s.needsReload || s.size <= limit || s.size <= 2*limit && len(s.operations) > 0 {
		return
	}
	err := s.compact() // after an error the records are safe, and the file stays large for now
	s.mu.Lock()
	s.compactionErr = err
	s.mu.Unlock()
}

// recordBytes returns the size of the newest records in bytes.
func (s *Store) recordBytes() (total int64) {
	for key, value := range s.records {
		total += int64(len(key) + len(value) + headerSize)
	}
	return total
}

// compact writes the newest records to a new file that replaces the old one. Until the directory is
// synced, a power loss may bring back either file; both contain every acknowledged record.
func (s *Store) compact() error {
	path := s.path(compactFileName)
	_ = os.Remove(path)
	db, file, size, nextNumber := s.db, s.file, s.size, s.nextNumber
	s.db, s.file = nil, nil
	if err := s.writeCompacted(path); err != nil {
		s.closeFile()
		s.db, s.file, s.size, s.nextNumber = db, file, size, nextNumber
		_ = os.Remove(path)
		return errors.Wrap(err, "compact the state file")
	}
	_ = db.Close()
	_ = file.Close()
	if err := s.syncDirectory(); err != nil {
		s.needsReload = true // so that the next Put syncs the directory or fails
		return err
	}
	return nil
}

// writeCompacted writes all records to a new file and renames it to replace the old one.
func (s *Store) writeCompacted(path string) error {
	if err := s.openFile(path); err != nil {
		return err
	}
	s.size = 0
	for key, value := range s.records {
		text := encode(key, s.nextNumber, []byte(value))
		if err := set(s.db, key, text); err != nil {
			return err
		}
		s.size += frameSize(key, len(text))
		s.nextNumber++
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	return os.Rename(path, s.path(FileName))
}

// scrub compares the file with the records in memory. If they differ, it compacts the file, unless the
// file is going to be reloaded anyway.
func (s *Store) scrub() (intact bool, err error) {
	if s.dir == "" {
		return true, nil
	}
	report, records, err := scan(s.path(FileName))
	if err != nil {
		return false, err
	}
	newest := map[string]string{}
	for _, r := range records {
		newest[r.key] = string(r.value)
	}
	if !report.Damaged && report.TornBytes == 0 && maps.Equal(newest, s.records) {
		return true, nil
	}
	if s.needsReload {
		return false, nil
	}
	return false, s.compact()
}
