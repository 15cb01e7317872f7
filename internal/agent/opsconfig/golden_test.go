package opsconfig

import (
	"bytes"
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

// TestGoldenExample compares the sections, keys and defaults of the example with the golden file, without
// comments.
func TestGoldenExample(t *testing.T) {
	var example bytes.Buffer
	if err := Example(&example); err != nil {
		t.Fatal(err)
	}
	var keys []byte
	for line := range bytes.Lines(example.Bytes()) {
		if !bytes.HasPrefix(line, []byte("#")) {
			keys = append(keys, line...)
		}
	}
	goldentest.File(t, "example.toml", keys)
}
