package controlapi

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenEncodings(t *testing.T) {
	goldentest.RoundTrip[Beat](t, goldentest.JSON, "beat")
	goldentest.RoundTrip[BeatReply](t, goldentest.JSON, "beat-reply")
}
