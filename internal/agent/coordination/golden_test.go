package coordination

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/agent/ejection"
	"chalkdoor.example/chalkdoor/internal/agent/membership"
	"chalkdoor.example/chalkdoor/internal/agent/stalerouting"
	"chalkdoor.example/chalkdoor/internal/agent/zonefailover"
	"chalkdoor.example/chalkdoor/internal/goldentest"
)

// messageCodec is the encoding of messages between agents.
var messageCodec = goldentest.Codec{Extension: ".message", Marshal: membership.Encode, Unmarshal: membership.Decode}

func TestGoldenMessages(t *testing.T) {
	goldentest.RoundTrip[ejection.VoteMessage](t, messageCodec, "ballot")
	goldentest.RoundTrip[stalerouting.Heartbeat](t, messageCodec, "uplink")
	goldentest.RoundTrip[ping](t, messageCodec, "ping")
	goldentest.RoundTrip[zonefailover.Report](t, messageCodec, "zone-report")
	goldentest.RoundTrip[stalerouting.Decision](t, messageCodec, "zone-decision")
	goldentest.RoundTrip[siteState](t, messageCodec, "state-exchange")
}

func TestGoldenTrace(t *testing.T) {
	goldentest.Output[TraceLine](t, goldentest.JSON, "trace")
}
