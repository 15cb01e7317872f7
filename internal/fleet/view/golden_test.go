package view

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenEncodings(t *testing.T) {
	goldentest.RoundTrip[View](t, goldentest.Msgpack, "view")
	goldentest.RoundTrip[AcceptorState](t, goldentest.Msgpack, "vote")
	goldentest.RoundTrip[PrepareRequest](t, goldentest.Msgpack, "prepare")
	goldentest.RoundTrip[AcceptRequest](t, goldentest.Msgpack, "accept")
	goldentest.RoundTrip[Response](t, goldentest.Msgpack, "answer")
}

func TestGoldenOutput(t *testing.T) {
	goldentest.Output[View](t, goldentest.JSON, "view")
	goldentest.Output[Shortfall](t, goldentest.JSON, "shortfall")
}
