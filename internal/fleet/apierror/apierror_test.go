package apierror

import (
	"io"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
)

func TestErrorMessages(t *testing.T) {
	err := New(Invalid, "timeout-ms", "give more than 0", "it is %d", 0)
	assert.EqualError(t, err, "timeout-ms: it is 0; give more than 0")
	assert.EqualError(t, PrefixKey(err, "routes.r"), "routes.r.timeout-ms: it is 0; give more than 0")
	assert.EqualError(t, err, "timeout-ms: it is 0; give more than 0", "the inner error is not modified")
	assert.EqualError(t, PrefixKey(Wrap(io.EOF, Unavailable, "", ""), "config"), "config: EOF")
	assert.Equal(t, io.EOF, PrefixKey(io.EOF, "config"))
	assert.NoError(t, Wrap(nil, Invalid, "k", "r"))
	assert.NoError(t, PrefixKey(nil, "k"))
}

func TestKindOfWrappedErrors(t *testing.T) {
	for kind := Internal; kind <= Corrupted; kind++ {
		err := errors.Wrap(Wrap(io.EOF, kind, "k", "r"), "outer")
		assert.Equal(t, kind, KindOf(err))
		assert.ErrorIs(t, err, io.EOF)
		assert.NotEqual(t, "unknown", kind.String())
	}
	assert.Equal(t, Internal, KindOf(io.EOF))
	assert.Equal(t, Internal, KindOf(nil))
	assert.Equal(t, "unknown", Kind(200).String())
}
