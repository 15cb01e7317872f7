// Package mutation holds small defects of the real code, each with the tests that have to find it,
// and applies them to a copy of the tree one at a time.
package mutation

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

// Point is one of the operators' points that a defect breaks.
type Point int

// The points.
const (
	CutOff     Point = 1 + iota // old state is told, or something is promised, by a machine that is cut off
	Races                       // two orders are confirmed under one number, or a repeated one is refused
	SecondLoss                  // a loss after another one leaves no majority or no complete copy
	CatchingUp                  // a member never catches up, or leads with old state
	OneAnswer                   // an answer goes to the wrong caller, or a call is sent twice
)

// Defect is one change of a source file and the tests that have to fail with it.
type Defect struct {
	ID       string
	Point    Point
	File     string // path from the root of the tree
	Old, New string // Old occurs once in the file
	Packages []string
	Run      string // pattern of the tests, as of go test -run
}

// ErrDoesNotApply tells that a defect's old text is not found exactly once.
var ErrDoesNotApply = errors.New("the defect does not apply: bring its old text in the table up to the source")

// Apply is the text of a defect's file, of the tree at root, with the defect in it.
func (d *Defect) Apply(root string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(d.File)))
	if err != nil {
		return "", errors.Wrap(err, "read the source of defect "+d.ID)
	}
	if n := strings.Count(string(raw), d.Old); n != 1 || d.Old == d.New {
		return "", errors.Wrapf(ErrDoesNotApply, "%s: %d places in %s", d.ID, n, d.File)
	}
	return strings.Replace(string(raw), d.Old, d.New, 1), nil
}
