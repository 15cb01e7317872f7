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

// clockAt is a clock of one boot.
func clockAt(up time.Duration) func() Clock {
	return func() Clock { return Clock{Boot: [16]byte{1}, Uptime: up} }
}

// tables have some records whose values tell the generation.
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

func save(t *testing.T, s *Store, tt Tables) {
	t.Helper()
	if err := s.Save(tt); err != nil {
		t.Fatal(err)
	}
}

func closeStore(t *testing.T, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// saved is a folder with generations of so many saves.
func saved(t *testing.T, saves, n int) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "state")
	s, g, problems := openStore(t, dir, clockAt(time.Minute))
	if g != nil || len(problems) > 0 || s.Runs != 1 {
		t.Fatalf("a new folder: %+v, %v, life %d", g, problems, s.Runs)
	}
	for i := range saves {
		save(t, s, tables(i+1, n))
	}
	closeStore(t, s)
	return dir
}

func TestLastGenerationIsRestored(t *testing.T) {
	dir := saved(t, 3, 20)
	s, g, problems := openStore(t, dir, clockAt(90*time.Second))
	defer closeStore(t, s)
	if g == nil || !reflect.DeepEqual(g.Tables, tables(3, 20)) || len(problems) > 0 {
		t.Fatalf("%+v, %v", g, problems)
	}
	if g.Seq != 3 || g.Age != 30*time.Second || !g.AgeKnown || !g.Complete || s.Runs != 2 {
		t.Errorf("%d, %v old, dated %v, whole %v, life %d", g.Seq, g.Age, g.AgeKnown, g.Complete, s.Runs)
	}
}

// After another boot, or without a clock, an age is the worst there is and not guessed young.
func TestUnknownAges(t *testing.T) {
	dir := saved(t, 1, 1)
	for name, c := range map[string]Clock{"another boot": {[16]byte{2}, time.Hour}, "no boot": {}, "back in time": {[16]byte{1}, time.Second}} {
		s, g, _ := openStore(t, dir, func() Clock { return c })
		if g == nil || g.AgeKnown || g.Age != unknownAge {
			t.Errorf("%s: %+v", name, g)
		}
		closeStore(t, s)
	}
}

func TestDirectoryIsLocked(t *testing.T) {
	dir := saved(t, 1, 1)
	s, _, _ := openStore(t, dir, clockAt(0))
	defer closeStore(t, s)
	if _, _, _, err := Open(dir, clockAt(0)); !errors.Is(err, ErrLocked) {
		t.Errorf("%v, want that it is in use", err)
	}
	if _, _, err := Inspect(dir, clockAt(0)); !errors.Is(err, ErrLocked) {
		t.Errorf("inspect: %v, want that it is in use", err)
	}
}

// edit changes a file's bytes.
func edit(t *testing.T, dir string, change func([]byte) []byte) {
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
	dir := saved(t, 2, 20)
	edit(t, dir, func(raw []byte) []byte { // one value of each generation
		for gen := 1; gen <= 2; gen++ {
			raw[bytes.Index(raw, bytes.Repeat([]byte{byte(gen)}, 40))+7] ^= 1
		}
		return raw
	})
	s, g, problems := openStore(t, dir, clockAt(0))
	if g == nil || g.Seq != 2 || g.Complete || len(g.Tables["x"]) != 19 || len(g.Tables["y"]) != 1 || len(problems) != 5 {
		t.Errorf("%+v, %v", g, problems)
	}
	closeStore(t, s)
	if g, problems, err := Inspect(dir, clockAt(0)); err != nil || !g.Complete || len(problems) > 0 || len(g.Tables["x"]) != 19 {
		t.Errorf("in its new file: %+v, %v, %v", g, problems, err)
	}
}

func TestDamagedGenerationFallsBackToThePreviousOne(t *testing.T) {
	dir := saved(t, 3, 20)
	edit(t, dir, func(raw []byte) []byte {
		raw[bytes.LastIndex(raw, bytes.Repeat([]byte{3}, 40))+3] ^= 1
		return raw
	})
	s, g, problems := openStore(t, dir, clockAt(0))
	if g == nil || g.Seq != 2 || !reflect.DeepEqual(g.Tables, tables(2, 20)) || len(problems) == 0 {
		t.Errorf("%+v, %v", g, problems)
	}
	save(t, s, tables(4, 20)) // over the damaged one
	closeStore(t, s)
	if g, problems, err := Inspect(dir, clockAt(0)); err != nil || g.Seq != 5 || len(problems) > 0 {
		t.Errorf("after the next save: %+v, %v, %v", g, problems, err)
	}
}

func TestUnusableFileIsSetAside(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func([]byte) []byte
		aside string
	}{
		"noise":     {func(raw []byte) []byte { return bytes.Repeat([]byte("noise"), 4000) }, "damaged"},
		"cut":       {func(raw []byte) []byte { return raw[:5000] }, "damaged"},
		"too large": {func([]byte) []byte { return make([]byte, MaxFile+1) }, "too-large"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := saved(t, 2, 20)
			for range 5 {
				edit(t, dir, c.spoil)
				s, g, problems := openStore(t, dir, clockAt(0))
				if g != nil || len(problems) < 2 || !strings.Contains(problems[len(problems)-1].Reason, c.aside) {
					t.Fatalf("%+v, %v", g, problems)
				}
				save(t, s, tables(1, 1))
				closeStore(t, s)
			}
			if left, _ := filepath.Glob(filepath.Join(dir, File+"."+c.aside+"-*")); len(left) == 0 || len(left) > maxSetAside {
				t.Errorf("%d files set aside are kept", len(left))
			}
		})
	}
}

// A file that ends before its pages do is a fault of memory where it is read.
func TestFilesTruncatedAtEachPage(t *testing.T) {
	dir := saved(t, 3, 150)
	whole, err := os.ReadFile(filepath.Join(dir, File))
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; n < len(whole); n += 4096 {
		edit(t, dir, func([]byte) []byte { return bytes.Clone(whole[:n]) })
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
		t.Error("a file was taken for a folder")
	}
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, File), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(dir, clockAt(0)); err == nil {
		t.Error("a folder was taken for a file")
	}
	if _, _, err := Inspect(t.TempDir(), clockAt(0)); err == nil {
		t.Error("an empty folder was inspected")
	}
}

// Power loss between two saves: of the pages that the second changed, any part may be on the
// disk, each whole or torn, whatever the order that the program wrote them in. Each such file
// gives what was saved before, or after, or less of one of them, or nothing; never a mix.
func TestImagesAfterPowerLoss(t *testing.T) {
	const page = 4096
	dir := saved(t, 2, 150) // several leaf pages
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
			// All subsets of the first eight first, the rest by chance; of these some torn.
			taken, last := n>>k&1 == 1, n == images-1 // which has them all
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
			t.Fatalf("image %d: does not start: %v", n, err)
		}
		counts[requireGeneration(t, n, g)]++
		save(t, s, tables(9, 3)) // and it goes on
		closeStore(t, s)
	}
	if counts["2"] == 0 || counts["3"] == 0 {
		t.Errorf("images gave %v, want both generations among them", counts)
	}
	t.Logf("%d pages changed; images gave %v", len(changed), counts)
}

// requireGeneration names the generation that all records are of.
func requireGeneration(t *testing.T, n int, g *Generation) string {
	t.Helper()
	if g == nil {
		return "nothing"
	}
	whole := tables(int(g.Seq), 150)
	for table, records := range g.Tables {
		for key, r := range records {
			if !reflect.DeepEqual(whole[table][key], r) {
				t.Fatalf("image %d: %s %s of generation %d is %v", n, table, key, g.Seq, r)
			}
		}
	}
	if g.Complete != reflect.DeepEqual(g.Tables, whole) {
		t.Fatalf("image %d: generation %d counts as whole: %v", n, g.Seq, g.Complete)
	}
	if !g.Complete {
		return "part"
	}
	return fmt.Sprint(g.Seq)
}

func FuzzUnseal(f *testing.F) {
	f.Add([]byte{}, "k")
	f.Add(encodeRecord(7, "t", "k", Record{1, []byte("v")}), "k")
	f.Fuzz(func(t *testing.T, raw []byte, key string) {
		if r, why := decodeRecord(7, "t", key, raw); why == "" && !bytes.Equal(encodeRecord(7, "t", key, r), raw) {
			t.Errorf("%x was taken, and would not be written", raw)
		}
		if _, why := parseFooter(raw); why == "" && len(raw) != footerSize+8 {
			t.Errorf("%x was taken for an end", raw)
		}
	})
}
