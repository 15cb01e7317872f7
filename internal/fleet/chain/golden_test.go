package chain_test

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenEncodings(t *testing.T) {
	goldentest.RoundTrip[chain.Record](t, goldentest.Msgpack, "record")
	goldentest.RoundTrip[chain.Value](t, goldentest.Msgpack, "value")
	goldentest.RoundTrip[chain.AppliedUpdate](t, goldentest.Msgpack, "past-order")
	goldentest.RoundTrip[chain.Push](t, goldentest.Msgpack, "push")
	goldentest.RoundTrip[chain.Update](t, goldentest.Msgpack, "order")
	goldentest.RoundTrip[chain.Result](t, goldentest.Msgpack, "verdict")
}
