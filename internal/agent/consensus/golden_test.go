package consensus

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenEncodings(t *testing.T) {
	goldentest.RoundTrip[Decision](t, goldentest.JSON, "snapshot")
}
