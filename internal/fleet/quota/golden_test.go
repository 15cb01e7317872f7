package quota

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenCalls(t *testing.T) {
	goldentest.RoundTrip[record](t, goldentest.Msgpack, "quota.record")
	goldentest.RoundTrip[admitRequest](t, goldentest.Msgpack, "quota.admit-request")
	goldentest.RoundTrip[admitResponse](t, goldentest.Msgpack, "quota.admit-answer")
	goldentest.RoundTrip[drawRequest](t, goldentest.Msgpack, "quota.draw-request")
	goldentest.RoundTrip[drawResponse](t, goldentest.Msgpack, "quota.draw-answer")
	goldentest.RoundTrip[deputizeRequest](t, goldentest.Msgpack, "quota.deputize-request")
	goldentest.RoundTrip[deputizeResponse](t, goldentest.Msgpack, "quota.deputize-answer")
}

func TestGoldenOutput(t *testing.T) {
	goldentest.Output[Report](t, goldentest.JSON, "report")
}
