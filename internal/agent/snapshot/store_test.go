package snapshot

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// clockAt returns a clock that always reads the same uptime of the same boot.
func clockAt(up time.Duration) func() Clock {
	return func() Clock { return Clock{Boot: [16]byte{1}, Uptime: up} }
}

// tables returns n+1 records whose values contain the number of the generation.
func tables(gen, n int) Tables {
	t := Tables{"x": {}, "y": {"only": {3, []byte(fmt.Sprint("only of ", gen))}}}
	for i := range n {
		t["x"][fmt.Sprintf("%04d", i)] = Record{1, bytes.Repeat([]byte{byte(gen)}, 40)}
	}
	return t
}

func openStore(t *testing.T, dir string, now func() Clock) (*Store, *Generation, []Problem) {
	t.Helper()
	s, g, problems, err := Open(dir, now)
	if err != nil {
		t.Fatal(err)
	}
	return s, g, problems
}

func save(t *testing.T, s *Store, data Tables) {
	t.Helper()
	if err := s.Save(data); err != nil {
		t.Fatal(err)
	}
}

func closeStore(t *testing.T, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// newStoreDir returns the path of a new store after the given number of saves, each with n+1 records.
func newStoreDir(t *testing.T, saves, n int) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "state")
	s, g, problems := openStore(t, dir, clockAt(time.Minute))
	if g != nil || len(problems) > 0 || s.Runs != 1 {
		t.Fatalf("a new store: generation %+v, problems %v, run %d", g, problems, s.Runs)
	}
	for i := range saves {
		save(t, s, tables(i+1, n))
	}
	closeStore(t, s)
	return dir
}

func TestLastGenerationIsRestored(t *testing.T) {
	dir := newStoreDir(t, 3, 20)
	s, g, problems := openStore(t, dir, clockAt(90*time.Second))
	defer closeStore(t, s)
	if g == nil || !reflect.DeepEqual(g.Tables, tables(3, 20)) || len(problems) > 0 {
		t.Fatalf("%+v, %v", g, problems)
	}
	if g.Seq != 3 || g.Age != 30*time.Second || !g.AgeKnown || !g.Complete || s.Runs != 2 {
		t.Errorf("generation %d, age %v, age known: %v, complete: %v, run %d",
			g.Seq, g.Age, g.AgeKnown, g.Complete, s.Runs)
	}
}

// An age that is not known counts as the largest duration.
func TestUnknownAges(t *testing.T) {
	dir := newStoreDir(t, 1, 1)
	for name, c := range map[string]Clock{
		"another boot": {[16]byte{2}, time.Hour}, "no boot": {}, "earlier uptime": {[16]byte{1}, time.Second},
	} {
		s, g, _ := openStore(t, dir, func() Clock { return c })
		if g == nil || g.AgeKnown || g.Age != unknownAge {
			t.Errorf("%s: %+v", name, g)
		}
		closeStore(t, s)
	}
}

func TestDirectoryIsLocked(t *testing.T) {
	dir := newStoreDir(t, 1, 1)
	s, _, _ := openStore(t, dir, clockAt(0))
	defer closeStore(t, s)
	if _, _, _, err := Open(dir, clockAt(0)); !errors.Is(err, ErrLocked) {
		t.Errorf("open: %v, want ErrLocked", err)
	}
	if _, _, err := Inspect(dir, clockAt(0)); !errors.Is(err, ErrLocked) {
		t.Errorf("inspect: %v, want ErrLocked", err)
	}
}

// editFile replaces the contents of the store's file.
func editFile(t *testing.T, dir string, change func([]byte) []byte) {
	t.Helper()
	path := filepath.Join(dir, File)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, change(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestDamagedRecordIsDropped(t *testing.T) {
	dir := newStoreDir(t, 2, 20)
	editFile(t, dir, func(raw []byte) []byte { // damages one value of each generation
		for gen := 1; gen <= 2; gen++ {
			raw[bytes.Index(raw, bytes.Repeat([]byte{byte(gen)}, 40))+7] ^= 1
		}
		return raw
	})
	s, g, problems := openStore(t, dir, clockAt(0))
	if g == nil || g.Seq != 2 || g.Complete || len(g.Tables["x"]) != 19 || len(g.Tables["y"]) != 1 ||
		len(problems) != 5 {
		t.Errorf("%+v, %v", g, problems)
	}
	closeStore(t, s)
	if g, problems, err := Inspect(dir, clockAt(0)); err != nil || !g.Complete || len(problems) > 0 ||
		len(g.Tables["x"]) != 19 {
		t.Errorf("in the new file: %+v, %v, %v", g, problems, err)
	}
}

func TestDamagedGenerationFallsBackToThePreviousOne(t *testing.T) {
	dir := newStoreDir(t, 3, 20)
	editFile(t, dir, func(raw []byte) []byte {
		raw[bytes.LastIndex(raw, bytes.Repeat([]byte{3}, 40))+3] ^= 1
		return raw
	})
	s, g, problems := openStore(t, dir, clockAt(0))
	if g == nil || g.Seq != 2 || !reflect.DeepEqual(g.Tables, tables(2, 20)) || len(problems) == 0 {
		t.Errorf("%+v, %v", g, problems)
	}
	save(t, s, tables(4, 20)) // replaces the damaged generation
	closeStore(t, s)
	if g, problems, err := Inspect(dir, clockAt(0)); err != nil || g.Seq != 5 || len(problems) > 0 {
		t.Errorf("after the next save: %+v, %v, %v", g, problems, err)
	}
}

func TestUnusableFileIsSetAside(t *testing.T) {
	for name, c := range map[string]struct {
		damage func([]byte) []byte
		aside  string
	}{
		"noise":     {func(raw []byte) []byte { return bytes.Repeat([]byte("noise"), 4000) }, "damaged"},
		"cut":       {func(raw []byte) []byte { return raw[:5000] }, "damaged"},
		"too large": {func([]byte) []byte { return make([]byte, MaxFile+1) }, "too-large"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := newStoreDir(t, 2, 20)
			for range 5 {
				editFile(t, dir, c.damage)
				s, g, problems := openStore(t, dir, clockAt(0))
				if g != nil || len(problems) < 2 || !strings.Contains(problems[len(problems)-1].Reason, c.aside) {
					t.Fatalf("%+v, %v", g, problems)
				}
				save(t, s, tables(1, 1))
				closeStore(t, s)
			}
			if retained, _ := filepath.Glob(filepath.Join(dir, File+"."+c.aside+"-*")); len(retained) == 0 ||
				len(retained) > maxSetAside {
				t.Errorf("%d files that were set aside are retained", len(retained))
			}
		})
	}
}

// Reading beyond the end of a truncated file causes a memory fault, which must not end the process.
func TestFilesTruncatedAtEachPage(t *testing.T) {
	dir := newStoreDir(t, 3, 150)
	complete, err := os.ReadFile(filepath.Join(dir, File))
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; n < len(complete); n += 4096 {
		editFile(t, dir, func([]byte) []byte { return bytes.Clone(complete[:n]) })
		s, g, _ := openStore(t, dir, clockAt(0))
		requireGeneration(t, n, g)
		save(t, s, tables(9, 3))
		closeStore(t, s)
	}
}

func TestUnusableDirectories(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(file, clockAt(0)); err == nil {
		t.Error("opened a file as a directory")
	}
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, File), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(dir, clockAt(0)); err == nil {
		t.Error("opened a store whose file is a directory")
	}
	if _, _, err := Inspect(t.TempDir(), clockAt(0)); err == nil {
		t.Error("inspected an empty directory")
	}
}

// After a power loss during a save, any subset of the changed pages may be on the disk, completely or torn,
// whatever the order in which they were written. From each such file Open must load all or some records of
// either the previous or the new generation, or nothing, but never records of both.
func TestImagesAfterPowerLoss(t *testing.T) {
	const page = 4096
	dir := newStoreDir(t, 2, 150) // enough records for several leaf pages
	path := filepath.Join(dir, File)
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s, _, _ := openStore(t, dir, clockAt(0))
	save(t, s, tables(3, 150))
	closeStore(t, s)
	after, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	before = append(before, make([]byte, max(len(after)-len(before), 0))...)
	var changed []int
	for i := 0; i+page <= len(after); i += page {
		if !bytes.Equal(before[i:i+page], after[i:i+page]) {
			changed = append(changed, i)
		}
	}
	if len(changed) < 5 {
		t.Fatalf("only %d pages changed", len(changed))
	}
	rng := rand.New(rand.NewPCG(1, 1))
	counts := map[string]int{}
	to := t.TempDir()
	images := 3000
	if testing.Short() {
		images = 300
	}
	for n := range images {
		image := bytes.Clone(before)
		for k, i := range changed {
			// The first 256 images have each subset of the first eight pages, and random other pages. In the
			// later images all pages are random, and some of them torn. The last image has all pages.
			taken, last := n>>k&1 == 1, n == images-1
			if k < 8 && n < 256 && !taken || !last && (k >= 8 || n >= 256) && rng.IntN(2) == 0 {
				continue
			}
			cut := page
			if !last && n >= 256 && rng.IntN(3) == 0 {
				cut = 512 * rng.IntN(page/512)
			}
			copy(image[i:i+cut], after[i:i+cut])
		}
		if err := os.WriteFile(filepath.Join(to, File), image, 0o600); err != nil {
			t.Fatal(err)
		}
		s, g, _, err := Open(to, clockAt(0))
		if err != nil {
			t.Fatalf("image %d: open: %v", n, err)
		}
		counts[requireGeneration(t, n, g)]++
		save(t, s, tables(9, 3)) // the store must still be usable
		closeStore(t, s)
	}
	if counts["2"] == 0 || counts["3"] == 0 {
		t.Errorf("loaded generations: %v, want both 2 and 3", counts)
	}
	t.Logf("%d pages changed; loaded generations: %v", len(changed), counts)
}

// requireGeneration fails unless all records belong to the generation and Complete is right. It returns the
// number of the generation, "part" if it is incomplete, or "nothing" if it is nil.
func requireGeneration(t *testing.T, n int, g *Generation) string {
	t.Helper()
	if g == nil {
		return "nothing"
	}
	complete := tables(int(g.Seq), 150)
	for table, records := range g.Tables {
		for key, r := range records {
			if !reflect.DeepEqual(complete[table][key], r) {
				t.Fatalf("image %d: %s %s of generation %d has the value %v", n, table, key, g.Seq, r)
			}
		}
	}
	if g.Complete != reflect.DeepEqual(g.Tables, complete) {
		t.Fatalf("image %d: generation %d is reported as complete: %v", n, g.Seq, g.Complete)
	}
	if !g.Complete {
		return "part"
	}
	return fmt.Sprint(g.Seq)
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte{}, "k")
	f.Add(encodeRecord(7, "t", "k", Record{1, []byte("v")}), "k")
	f.Fuzz(func(t *testing.T, raw []byte, key string) {
		if r, why := decodeRecord(7, "t", key, raw); why == "" && !bytes.Equal(encodeRecord(7, "t", key, r), raw) {
			t.Errorf("%x was decoded, but the result encodes differently", raw)
		}
		if _, why := parseFooter(raw); why == "" && len(raw) != footerSize+8 {
			t.Errorf("%x was decoded as a footer", raw)
		}
	})
}
