package balancer

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenOutput(t *testing.T) {
	goldentest.Output[ServerStatus](t, goldentest.JSON, "server")
}
