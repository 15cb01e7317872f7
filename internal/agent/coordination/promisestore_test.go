package coordination

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"chalkdoor.example/chalkdoor/internal/agent/snapshot"
)

// A voter's next life knows for how long promises may stand: all of it at the first start and
// where the file is gone or damaged, what is left of it where it is whole.
func TestCover(t *testing.T) {
	const whole = 10 * time.Minute
	dir := t.TempDir()
	open := func() (*promiseStore, time.Duration) {
		t.Helper()
		c, left, err := openPromiseStore(dir, whole)
		if err != nil {
			t.Fatal(err)
		}
		return c, left
	}
	c, left := open()
	if left != whole {
		t.Errorf("%v left at the first start", left)
	}
	c.persist(0, 2*whole)
	c.persist(0, whole) // while the other is under way: asked for again
	if r := <-c.saved; r.until != 2*whole || r.err != nil {
		t.Errorf("%+v", r)
	}
	c.close()
	c, left = open()
	if left <= 2*whole-time.Minute || left > 2*whole {
		t.Errorf("%v left, want nearly %v", left, 2*whole)
	}
	if _, _, err := openPromiseStore(dir, whole); err == nil {
		t.Error("one folder was opened twice")
	}
	if err := c.save(0); err != nil {
		t.Fatal(err)
	}
	c.close()
	c, left = open()
	c.close()
	if left != 0 {
		t.Errorf("%v left of nothing", left)
	}
	// Damage in the middle of the file, and a span that no voter of these settings wrote.
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
	c, left = open()
	if left != whole {
		t.Errorf("%v left by a damaged file", left)
	}
	if err := c.save(2 * maxPromiseSpan); err != nil {
		t.Fatal(err)
	}
	c.close()
	c, left = open()
	c.close()
	if left != whole {
		t.Errorf("%v left by a span that is too long", left)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	c, left = open()
	c.close()
	if left != whole {
		t.Errorf("%v left where the file is gone", left)
	}
}
