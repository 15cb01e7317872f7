package llm

import (
	"testing"

	"chalkdoor.example/chalkdoor/internal/leak"
)

func TestMain(m *testing.M) { leak.Main(m) }
