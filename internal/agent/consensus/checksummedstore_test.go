package consensus

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"

	"chalkdoor.example/chalkdoor/internal/agent/snapshot"
)

// readLog opens a log as a voter does, and returns all entries and all values.
func readLog(path string) (entries [][]byte, values [][]byte, err error) {
	if err := snapshot.VerifyFile(path); err != nil {
		return nil, nil, err
	}
	boltStore, err := openLog(path)
	if err != nil {
		return nil, nil, err
	}
	defer boltStore.Close()
	s := checksummedStore{boltStore}
	if err := s.verify(); err != nil {
		return nil, nil, err
	}
	last, err := s.LastIndex()
	if err != nil {
		return nil, nil, err
	}
	for i := range last {
		var l raft.Log
		if err := s.GetLog(i+1, &l); err != nil {
			return nil, nil, err
		}
		entries = append(entries, l.Data)
	}
	for _, key := range stableKeys {
		v, err := s.Get([]byte(key))
		if err != nil {
			return nil, nil, err
		}
		values = append(values, v)
	}
	return entries, values, nil
}

// If parts of a log's file are overwritten, zeroed or truncated, a voter reads what it wrote or returns an error. It
// never reads anything else and never panics.
func TestDamagedLogIsDetected(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, logFile)
	boltStore, err := openLog(path)
	if err != nil {
		t.Fatal(err)
	}
	s := checksummedStore{boltStore}
	if err := s.verify(); err != nil {
		t.Errorf("empty log: %v", err)
	}
	for i := range uint64(40) {
		if err := s.StoreLog(&raft.Log{Index: i + 1, Term: 2, Type: raft.LogCommand,
			Data: bytes.Repeat([]byte{byte(i)}, 300)}); err != nil {
			t.Fatal(err)
		}
	}
	for _, key := range stableKeys {
		if err := s.SetUint64([]byte(key), 2); err != nil {
			t.Fatal(err)
		}
	}
	if v, err := s.GetUint64([]byte("CurrentTerm")); err != nil || v != 2 {
		t.Errorf("%d, %v", v, err)
	}
	if _, err := s.Get([]byte("nothing")); err == nil || errors.Is(err, errDamaged) {
		t.Errorf("%v for a key that was never set", err)
	}
	if err := boltStore.Close(); err != nil {
		t.Fatal(err)
	}
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	entries, values, err := readLog(path)
	if err != nil || len(entries) != 40 {
		t.Fatalf("%d entries, %v", len(entries), err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	rejected, read := 0, 0
	for n := range 300 {
		image := bytes.Clone(intact)
		for range 1 + rng.IntN(3) {
			at := rng.IntN(len(image) / 512)
			sector := image[at*512 : at*512+512]
			switch rng.IntN(3) {
			case 0:
				clear(sector)
			case 1:
				for i := range sector {
					sector[i] = byte(rng.Uint32())
				}
			case 2:
				sector[rng.IntN(512)] ^= 1 << rng.IntN(8)
			}
		}
		if rng.IntN(10) == 0 {
			image = image[:rng.IntN(len(image))]
		}
		// Each image has its own file, because a file stays locked after a panic.
		damaged := filepath.Join(dir, fmt.Sprint("torn-", n))
		if err := os.WriteFile(damaged, image, 0o600); err != nil {
			t.Fatal(err)
		}
		gotEntries, gotValues, err := readLog(damaged)
		if err != nil {
			rejected++
			continue
		}
		read++
		// If a meta page is damaged, the library falls back to the state before the last write. A crash can have
		// the same effect. Nothing else may differ.
		for i, e := range gotEntries {
			if !bytes.Equal(e, entries[i]) {
				t.Fatalf("entry %d differs from what was written", i+1)
			}
		}
		for i, v := range gotValues {
			if !bytes.Equal(v, values[i]) {
				t.Fatalf("value %s differs from what was written", stableKeys[i])
			}
		}
	}
	t.Logf("%d rejected, %d read as written", rejected, read)
	if rejected == 0 || read == 0 {
		t.Errorf("%d rejected, %d read, want some of each", rejected, read)
	}
}
