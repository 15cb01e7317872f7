package rollout

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenEncodings(t *testing.T) {
	goldentest.RoundTrip[Record](t, goldentest.Msgpack, "record")
	goldentest.RoundTrip[stablePart](t, goldentest.Msgpack, "record-rest")
	goldentest.RoundTrip[Report](t, goldentest.Msgpack, "report")
}

func TestGoldenOutput(t *testing.T) {
	goldentest.Output[Status](t, goldentest.JSON, "status")
	goldentest.RoundTrip[Spec](t, goldentest.JSON, "spec")
}
