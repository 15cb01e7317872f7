package zonefailover

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenEncodings(t *testing.T) {
	goldentest.RoundTrip[Table](t, goldentest.JSON, "table")
}
