// Package goldentest lets tests detect changes of encodings: the records on disk, the messages between
// processes and the output for programs must stay readable by other versions, even if the Go names of
// their fields change.
//
// Each encoding has a golden file, written by an earlier version, in the folder testdata of the package
// that owns the type. A test encodes a fixed value that has all fields set and compares the bytes with the
// file. It also decodes the file and encodes the result to the same bytes. The test fails if a struct tag
// is changed, dropped or forgotten.
//
// With GOLDEN_UPDATE=1 in the environment, tests rewrite the files. That is right only if a field was
// added: don't commit a file whose existing keys have changed.
package goldentest

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// updateVariable is the environment variable that makes tests rewrite their golden files.
const updateVariable = "GOLDEN_UPDATE"

// Codec is an encoding of Go values.
type Codec struct {
	Extension string // of golden files, including the dot
	Tag       string // the struct tag that names keys; "" if fields are encoded by their position
	Marshal   func(value any) ([]byte, error)
	Unmarshal func(encoded []byte, to any) error
}

// Msgpack is the encoding of the router fleet's records and calls.
var Msgpack = Codec{
	Extension: ".msgpack",
	Tag:       "msgpack",
	Marshal:   func(value any) ([]byte, error) { return msgpack.Marshal(value) },
	Unmarshal: func(encoded []byte, to any) error { return msgpack.Unmarshal(encoded, to) },
}

// JSON is the encoding of the agent's records and of all output for programs.
var JSON = Codec{
	Extension: ".json",
	Tag:       "json",
	Marshal:   func(value any) ([]byte, error) { return json.MarshalIndent(value, "", "  ") },
	Unmarshal: json.Unmarshal,
}

// RoundTrip compares the encoding of Filled[T] with the golden file of the given name. It then decodes
// the file and compares the encoding of the result with the file: as all fields are set in it, this
// detects a field that is not decoded.
func RoundTrip[T any](t *testing.T, codec Codec, name string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		value := Filled[T]()
		golden := compare(t, codec, name, &value)
		decoded := new(T)
		require.NoError(t, codec.Unmarshal(golden, decoded))
		reencoded, err := codec.Marshal(decoded)
		require.NoError(t, err)
		require.Equal(t, string(golden), string(reencoded), "a field of the golden file was not decoded")
	})
}

// Output compares the encoding of Filled[T] with the golden file of the given name. It is for types that
// are only encoded and never decoded.
func Output[T any](t *testing.T, codec Codec, name string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		value := Filled[T]()
		compare(t, codec, name, &value)
	})
}

// compare compares a value's encoding with the golden file of the given name, and returns the file's
// content. It requires a struct tag for each key of the value.
func compare(t *testing.T, codec Codec, name string, value any) (golden []byte) {
	t.Helper()
	if codec.Tag != "" {
		require.Empty(t, fieldsWithoutKey(reflect.TypeOf(value), codec.Tag), "fields without a tag that names their key")
	}
	encoded, err := codec.Marshal(value)
	require.NoError(t, err)
	return File(t, name+codec.Extension, encoded)
}

// File compares bytes with the golden file of the given name, and returns the file's content.
func File(t *testing.T, name string, got []byte) (golden []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv(updateVariable) != "" {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	golden, err := os.ReadFile(path)
	require.NoError(t, err)
	if !bytes.Equal(golden, got) {
		require.Equal(t, string(golden), string(got), "the encoding differs from the golden file %s", path)
	}
	return golden
}

// Filled returns the same value on each call, with all fields set that an encoding can see: numbers
// and texts that differ from each other (only those of 8 unsigned bits repeat), and one element in each
// slice and map. It panics on types that contain themselves.
func Filled[T any]() T {
	var value T
	f := filler{}
	f.fill(reflect.ValueOf(&value).Elem(), 0)
	return value
}
