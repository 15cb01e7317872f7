package goldentest

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

type embedded struct {
	Text string `json:"Text" msgpack:"Text"`
}

type sample struct {
	embedded
	Flag    bool
	Small   uint8
	Number  int64
	Float   float64
	Bytes   []byte
	Pointer *embedded
	Map     map[string]int
	Array   [2]uint16
	Raw     json.RawMessage

	hidden int
}

func TestFilledSetsEveryField(t *testing.T) {
	got := Filled[sample]()
	require.Equal(t, sample{
		embedded: embedded{Text: "text-1"}, Flag: true, Small: 3, Number: 3, Float: 4.5, Bytes: []byte{3}, Pointer: &embedded{Text: "text-6"},
		Map: map[string]int{"text-7": 8}, Array: [2]uint16{9, 10}, Raw: json.RawMessage("11"),
	}, got)
	require.Zero(t, got.hidden)
	require.Equal(t, got, Filled[sample](), "a second call returned another value")
}

func TestFilledPanicsOnRecursiveTypes(t *testing.T) {
	type node struct{ Next *node }
	require.Panics(t, func() { Filled[node]() })
}

func TestFieldsWithoutKey(t *testing.T) {
	type item struct {
		embedded
		Named   int                            `json:"named,omitempty"`
		Default int                            `json:",omitempty"`
		Nested  map[string]*struct{ Bare int } `json:"nested"`
	}
	require.Equal(t, []string{"goldentest.item.Default", "struct { Bare int }.Bare"}, fieldsWithoutKey(reflect.TypeFor[[]item](), "json"))
	require.Equal(t, []string{"goldentest.item.Named", "goldentest.item.Default", "goldentest.item.Nested", "struct { Bare int }.Bare"},
		fieldsWithoutKey(reflect.TypeFor[item](), "msgpack"))
}

func TestRoundTrip(t *testing.T) {
	RoundTrip[embedded](t, JSON, "sample")
	RoundTrip[embedded](t, Msgpack, "sample")
	Output[embedded](t, JSON, "sample")
}

func TestCommandLine(t *testing.T) {
	CommandLine(t, &struct {
		Verbose bool `short:"v" env:"VERBOSE"`
		Run     struct {
			File string `arg:""`
		} `cmd:"" default:"withargs"`
	}{})
}
