package agent

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenEncodings(t *testing.T) {
	goldentest.RoundTrip[TargetList](t, goldentest.JSON, "list")
}
