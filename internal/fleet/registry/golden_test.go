package registry

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenEncodings(t *testing.T) {
	goldentest.RoundTrip[Instance](t, goldentest.Msgpack, "instance")
	goldentest.Output[View](t, goldentest.JSON, "server")
}
