package controlplane

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/fleet/chain"
	"chalkdoor.example/chalkdoor/internal/fleet/view"
	"chalkdoor.example/chalkdoor/internal/goldentest"
)

// recordCodec encodes records as on disk.
var recordCodec = goldentest.Codec{Extension: ".record", Tag: "msgpack", Marshal: encode, Unmarshal: decode}

func TestGoldenRecords(t *testing.T) {
	goldentest.RoundTrip[view.View](t, recordCodec, keyView)
	goldentest.RoundTrip[view.AcceptorState](t, recordCodec, keyVote)
	goldentest.RoundTrip[chain.Record](t, recordCodec, keyValue)
}

func TestGoldenCalls(t *testing.T) {
	goldentest.RoundTrip[empty](t, goldentest.Msgpack, "none")
	goldentest.RoundTrip[heartbeat](t, goldentest.Msgpack, "core.ping")
	goldentest.RoundTrip[prepareRequest](t, goldentest.Msgpack, "core.prepare-request")
	goldentest.RoundTrip[acceptRequest](t, goldentest.Msgpack, "core.accept-request")
	goldentest.RoundTrip[view.Response](t, goldentest.Msgpack, "core.prepare-accept-answer")
	goldentest.RoundTrip[view.View](t, goldentest.Msgpack, "core.learn-request")
	goldentest.RoundTrip[viewRequest](t, goldentest.Msgpack, "core.view-request")
	goldentest.RoundTrip[viewResponse](t, goldentest.Msgpack, "core.view-announce-answer")
	goldentest.RoundTrip[pushRequest](t, goldentest.Msgpack, "core.push-request")
	goldentest.RoundTrip[pushDiffRequest](t, goldentest.Msgpack, "core.push-diff-request")
	goldentest.RoundTrip[pushResponse](t, goldentest.Msgpack, "core.push-answer")
	goldentest.RoundTrip[chain.Update](t, goldentest.Msgpack, "core.order-request")
	goldentest.RoundTrip[submitResponse](t, goldentest.Msgpack, "core.order-answer")
	goldentest.RoundTrip[readResponse](t, goldentest.Msgpack, "core.read-answer")
	goldentest.RoundTrip[confirmResponse](t, goldentest.Msgpack, "core.confirm-answer")
	goldentest.RoundTrip[valueRequest](t, goldentest.Msgpack, "core.value-request")
	goldentest.RoundTrip[valueResponse](t, goldentest.Msgpack, "core.value-answer")
	goldentest.RoundTrip[announceRequest](t, goldentest.Msgpack, "core.announce-request")
}

func TestGoldenStatus(t *testing.T) {
	goldentest.Output[Status](t, goldentest.JSON, "status")
}
