package deltasync

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenEncodings(t *testing.T) {
	goldentest.RoundTrip[Delta](t, goldentest.Msgpack, "delta")
	goldentest.RoundTrip[Vector](t, goldentest.Msgpack, "vector")
}
