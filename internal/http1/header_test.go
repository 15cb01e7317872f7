package http1

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestEndToEnd(t *testing.T) {
	header := http.Header{"X-Hop": {"1"}, "X-Other": {"2"}, "X-Stays": {"3", "4"}}
	for _, name := range hopByHopHeaders {
		header.Set(name, "x")
	}
	header["Connection"] = []string{"close, X-Hop", "x-other ,, Keep-Alive"}
	before := header.Clone()
	endToEnd := EndToEnd(header)
	assert.Equal(t, http.Header{"X-Stays": {"3", "4"}}, endToEnd)
	assert.Equal(t, before, header)
	endToEnd.Set("X-Stays", "5")
	assert.Equal(t, before, header, "the copy is independent")
	assert.Empty(t, EndToEnd(nil))
}
