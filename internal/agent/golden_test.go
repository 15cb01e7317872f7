package agent

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenEncodings(t *testing.T) {
	goldentest.RoundTrip[List](t, goldentest.JSON, "list")
}
