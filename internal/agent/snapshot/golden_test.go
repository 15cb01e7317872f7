package snapshot

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
	"chalkdoor.example/chalkdoor/policy"
)

func TestGoldenRecords(t *testing.T) {
	goldentest.RoundTrip[policy.ServerSnapshot](t, goldentest.JSON, "server")
	goldentest.RoundTrip[loadRecord](t, goldentest.JSON, "load")
	goldentest.RoundTrip[listHeader](t, goldentest.JSON, "list-head")
	goldentest.RoundTrip[Site](t, goldentest.JSON, "site")
}

// TestGoldenFile reads a file that an earlier version of the program wrote.
func TestGoldenFile(t *testing.T) {
	const golden = "testdata/state.db"
	want := goldentest.Filled[State]()
	tables, err := Encode(&want)
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv("GOLDEN_UPDATE") != "" {
		writeStore(t, golden, tables)
	}
	file, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, File), file, 0o600); err != nil {
		t.Fatal(err)
	}
	generation, problems, err := Inspect(dir, Now)
	if err != nil || len(problems) > 0 || generation == nil {
		t.Fatalf("generation %v, problems %v: %v", generation, problems, err)
	}
	if !reflect.DeepEqual(generation.Tables, tables) {
		t.Errorf("the file holds %v, want %v", generation.Tables, tables)
	}
	if _, problems := Decode(generation); len(problems) > 0 {
		t.Errorf("not decoded: %v", problems)
	}
}

// writeStore writes tables to a new file.
func writeStore(t *testing.T, path string, tables Tables) {
	t.Helper()
	dir := t.TempDir()
	store, _, _, err := Open(dir, func() Clock { return Clock{} })
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Save(tables); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	file, err := os.ReadFile(filepath.Join(dir, File))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, file, 0o644); err != nil {
		t.Fatal(err)
	}
}
