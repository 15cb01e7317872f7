package controlapi

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenEncodings(t *testing.T) {
	goldentest.RoundTrip[Heartbeat](t, goldentest.JSON, "beat")
	goldentest.RoundTrip[HeartbeatResponse](t, goldentest.JSON, "beat-reply")
}
