package membership

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenMetadata(t *testing.T) {
	goldentest.RoundTrip[nodeMeta](t, goldentest.Codec{Extension: ".message", Marshal: Encode, Unmarshal: Decode},
		"metadata")
}
