package coordination

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/snapshot"
)

// A restarted voter knows for how long promises of its earlier runs may be in force: the remaining time if the file
// is intact, the longest possible time at the first start and if the file is missing, damaged or out of bounds.
func TestRemainingPromiseTimeAfterRestart(t *testing.T) {
	const longest = 10 * time.Minute
	dir := t.TempDir()
	open := func() (*promiseStore, time.Duration) {
		t.Helper()
		store, remaining, err := openPromiseStore(dir, longest)
		if err != nil {
			t.Fatal(err)
		}
		return store, remaining
	}
	store, remaining := open()
	if remaining != longest {
		t.Errorf("%v remain at the first start", remaining)
	}
	store.persist(0, 2*longest)
	store.persist(0, longest) // ignored, because the other write is in flight
	if r := <-store.saved; r.promisesUntil != 2*longest || r.err != nil {
		t.Errorf("%+v", r)
	}
	store.close()
	store, remaining = open()
	if remaining <= 2*longest-time.Minute || remaining > 2*longest {
		t.Errorf("%v remain, want nearly %v", remaining, 2*longest)
	}
	if _, _, err := openPromiseStore(dir, longest); err == nil {
		t.Error("a directory was opened twice")
	}
	if err := store.save(0); err != nil {
		t.Fatal(err)
	}
	store.close()
	store, remaining = open()
	store.close()
	if remaining != 0 {
		t.Errorf("%v remain, want 0", remaining)
	}
	// The file is damaged in the middle, and then contains a time longer than any configuration allows.
	path := filepath.Join(dir, snapshot.File)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := len(raw) / 4; i < len(raw); i++ {
		raw[i] ^= 0xff
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	store, remaining = open()
	if remaining != longest {
		t.Errorf("%v remain after damage, want the longest time", remaining)
	}
	if err := store.save(2 * maxPromiseDuration); err != nil {
		t.Fatal(err)
	}
	store.close()
	store, remaining = open()
	store.close()
	if remaining != longest {
		t.Errorf("%v remain after a time that is too long, want the longest time", remaining)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	store, remaining = open()
	store.close()
	if remaining != longest {
		t.Errorf("%v remain without a file, want the longest time", remaining)
	}
}
