// Package goldentest holds encodings still in tests: the records on disk, the messages between
// processes and the output for programs have to stay readable by other versions, whatever the Go
// names of their fields are.
//
// Each encoding has a golden file in the folder testdata of the package that owns the type, written
// by an earlier version. A test decodes it, compares what it holds with a fixed value that has all
// fields set, and encodes that value to the same bytes. A struct tag that is changed, dropped or
// forgotten makes the test fail.
//
// With GOLDEN_UPDATE=1 in the environment the files are written anew. That is right only where a
// field was added: a file whose former keys have changed is not to be committed.
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

// updateVariable is the environment variable that has golden files written anew.
const updateVariable = "GOLDEN_UPDATE"

// Codec is an encoding of Go values.
type Codec struct {
	Extension string // of golden files, with its dot
	Tag       string // the struct tag that names keys; "": fields are encoded by their position
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

// RoundTrip compares the encoding of Filled[T] with the golden file of a name, and the same file with
// the encoding of what it is decoded to: all fields are set in it, so none can have been passed over.
func RoundTrip[T any](t *testing.T, codec Codec, name string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		value := Filled[T]()
		golden := compare(t, codec, name, &value)
		decoded := new(T)
		require.NoError(t, codec.Unmarshal(golden, decoded))
		again, err := codec.Marshal(decoded)
		require.NoError(t, err)
		require.Equal(t, string(golden), string(again), "a field of the golden file was not decoded")
	})
}

// Output compares the encoding of Filled[T] with the golden file of a name. It is for what is
// written only.
func Output[T any](t *testing.T, codec Codec, name string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		value := Filled[T]()
		compare(t, codec, name, &value)
	})
}

// compare returns the golden file of a name after it was compared with a value's encoding, all of
// whose keys have to be named by struct tags.
func compare(t *testing.T, codec Codec, name string, value any) (golden []byte) {
	t.Helper()
	if codec.Tag != "" {
		require.Empty(t, fieldsWithoutKey(reflect.TypeOf(value), codec.Tag), "fields without a tag that names their key")
	}
	encoded, err := codec.Marshal(value)
	require.NoError(t, err)
	return File(t, name+codec.Extension, encoded)
}

// File compares bytes with those of the golden file of a name, which it returns.
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
		require.Equal(t, string(golden), string(got), "not the bytes of %s", path)
	}
	return golden
}

// Filled returns the same value at each call, with all fields set that an encoding can see: numbers
// and texts that differ from each other, and one element in each slice and map. It panics where
// types contain themselves.
func Filled[T any]() T {
	var value T
	f := filler{}
	f.fill(reflect.ValueOf(&value).Elem(), 0)
	return value
}
