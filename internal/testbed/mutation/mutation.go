// Package mutation is a mutation test of the control plane. It has a table of small defects, each with the tests that
// must detect it, and a runner that builds a copy of the tree with one defect at a time and runs these tests.
package mutation

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

// Category is the kind of guarantee that a mutation violates. Its number is the value of mutationtest's flag --point.
type Category int

// The categories, numbered like the points of the flag --point.
const (
	StaleState      Category = 1 + iota // a partitioned machine returns stale state or acknowledges a request
	UpdateConflicts                     // two updates of one revision are acknowledged, or a retried one is rejected
	Durability                          // after a second loss, no majority or no complete replica is left
	CatchUp                             // a member never catches up, or leads with stale state
	CallMatching                        // a response goes to the wrong caller, or a call is sent twice
)

// Mutation is one change of a source file, with the tests that have to fail because of it.
type Mutation struct {
	ID       string
	Category Category
	File     string   // slash-separated path relative to the root of the tree
	Old, New string   // Old, which occurs exactly once in the file, is replaced by New
	Packages []string // packages of the tests, as arguments of go test
	Tests    string   // pattern that selects the tests, as for go test -run
}

// ErrNotApplicable is returned if a mutation's Old does not occur exactly once in its file, or equals New.
var ErrNotApplicable = errors.New("the mutation is not applicable: update its snippet in the table to match the source")

// Apply returns the mutated content of the mutation's file in the tree at root. It does not change the file.
func (m *Mutation) Apply(root string) (string, error) {
	source, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(m.File)))
	if err != nil {
		return "", errors.Wrap(err, "read the source of mutation "+m.ID)
	}
	if n := strings.Count(string(source), m.Old); n != 1 || m.Old == m.New {
		return "", errors.Wrapf(ErrNotApplicable, "%s: %d occurrences in %s", m.ID, n, m.File)
	}
	return strings.Replace(string(source), m.Old, m.New, 1), nil
}
