package fleetlab

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenOutput(t *testing.T) {
	goldentest.Output[Report](t, goldentest.JSON, "report")
}
