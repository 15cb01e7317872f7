package hollownode

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/goldentest"
)

func TestGoldenOutput(t *testing.T) {
	goldentest.Output[Result](t, goldentest.JSON, "result")
}
