package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
)

// errDamaged is the error for a record that differs from what was written.
var errDamaged = errors.New("damaged")

// raftStore is the storage that the raft library needs.
type raftStore interface {
	raft.LogStore
	raft.StableStore
}

// checksummedStore adds a checksum to each record of a store and rejects records without a valid one. The
// library does not always detect a torn page, and a voter that reads back a wrong vote may vote twice in one
// term. The checksum of a log entry is stored in its Extensions field, which is not used otherwise. The
// checksum of a value follows the value.
type checksummedStore struct{ raftStore }

const checksumSize = 8

// entryChecksum returns the checksum of a log entry.
func entryChecksum(l *raft.Log) []byte {
	h := xxhash.New()
	var raw [8]byte
	for _, v := range []uint64{l.Index, l.Term, uint64(l.Type), uint64(len(l.Data))} {
		binary.BigEndian.PutUint64(raw[:], v)
		_, _ = h.Write(raw[:]) // a hash never fails
	}
	_, _ = h.Write(l.Data)
	return h.Sum(nil)
}

// valueChecksum returns the checksum of a key and its value.
func valueChecksum(key, value []byte) []byte {
	h := xxhash.New()
	_, _ = h.Write(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(value)
	return h.Sum(nil)
}

// StoreLog implements raft.LogStore.
func (s checksummedStore) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs implements raft.LogStore. It does not modify the entries of the caller.
func (s checksummedStore) StoreLogs(list []*raft.Log) error {
	out := make([]*raft.Log, len(list))
	for i, l := range list {
		c := *l
		c.Extensions = entryChecksum(l)
		out[i] = &c
	}
	return s.raftStore.StoreLogs(out)
}

// GetLog implements raft.LogStore.
func (s checksummedStore) GetLog(index uint64, l *raft.Log) error {
	if err := s.raftStore.GetLog(index, l); err != nil {
		return err
	}
	if l.Index != index || string(l.Extensions) != string(entryChecksum(l)) {
		return fmt.Errorf("consensus: entry %d: %w", index, errDamaged)
	}
	l.Extensions = nil
	return nil
}

// Set implements raft.StableStore.
func (s checksummedStore) Set(key, value []byte) error {
	return s.raftStore.Set(key, append(append([]byte(nil), value...), valueChecksum(key, value)...))
}

// Get implements raft.StableStore. For a key that was never set it returns the library's error.
func (s checksummedStore) Get(key []byte) ([]byte, error) {
	raw, err := s.raftStore.Get(key)
	if err != nil {
		return nil, err
	}
	n := len(raw) - checksumSize
	if n < 0 || string(raw[n:]) != string(valueChecksum(key, raw[:n])) {
		return nil, fmt.Errorf("consensus: value %q: %w", key, errDamaged)
	}
	return raw[:n], nil
}

// SetUint64 implements raft.StableStore.
func (s checksummedStore) SetUint64(key []byte, v uint64) error {
	return s.Set(key, binary.BigEndian.AppendUint64(nil, v))
}

// GetUint64 implements raft.StableStore.
func (s checksummedStore) GetUint64(key []byte) (uint64, error) {
	raw, err := s.Get(key)
	if err != nil {
		return 0, err
	}
	if len(raw) != 8 {
		return 0, fmt.Errorf("consensus: value %q: %w", key, errDamaged)
	}
	return binary.BigEndian.Uint64(raw), nil
}

// stableKeys are the keys of the values that raft stores besides its log.
var stableKeys = []string{"CurrentTerm", "LastVoteTerm", "LastVoteCand"}

// verify reads all records of the store and checks their checksums. If it returns an error, the voter must not
// vote.
func (s checksummedStore) verify() error {
	first, err := s.FirstIndex()
	if err != nil {
		return fmt.Errorf("consensus: log: %w", err)
	}
	last, err := s.LastIndex()
	if err != nil {
		return fmt.Errorf("consensus: log: %w", err)
	}
	if last < first || last-first > math.MaxInt32 {
		return fmt.Errorf("consensus: log: entries %d to %d: %w", first, last, errDamaged)
	}
	for i := first; i > 0 && i <= last; i++ {
		if err := s.GetLog(i, new(raft.Log)); err != nil {
			return err
		}
	}
	for _, key := range stableKeys {
		if _, err := s.Get([]byte(key)); errors.Is(err, errDamaged) {
			return err
		}
	}
	return nil
}
