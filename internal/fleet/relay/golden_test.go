package relay

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenMessages(t *testing.T) {
	goldentest.RoundTrip[message](t, goldentest.Msgpack, "feed.session")
	goldentest.RoundTrip[Member](t, goldentest.Msgpack, "item-member")
	goldentest.RoundTrip[configItem](t, goldentest.Msgpack, "item-config")
}

func TestGoldenSavedServers(t *testing.T) {
	goldentest.RoundTrip[savedServers](t, goldentest.Msgpack, "saved-servers")
}

func TestGoldenOutput(t *testing.T) {
	goldentest.Output[Report](t, goldentest.JSON, "report")
}

func TestGoldenSavedMembers(t *testing.T) {
	goldentest.RoundTrip[savedMembers](t, goldentest.Msgpack, "saved-members")
}
