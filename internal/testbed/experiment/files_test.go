package experiment

import (
	"testing"

	"chalkdoor.example/chalkdoor/experiments"
)

// All embedded experiments are valid, in full and in their short form.
func TestEmbeddedExperiments(t *testing.T) {
	names, err := List(experiments.Files)
	if err != nil || len(names) < 9 {
		t.Fatalf("%d experiments, %v", len(names), err)
	}
	for _, name := range names {
		f, err := LoadFile(experiments.Files, name)
		if err != nil {
			t.Error(err)
			continue
		}
		if _, ld := f.Short(); f.About == "" || len(f.Claim) == 0 || ld.Duration >= f.Load.Duration {
			t.Errorf("%s: %d claims, short form of %v", name, len(f.Claim), ld.Duration)
		}
	}
}
