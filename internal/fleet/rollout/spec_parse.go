package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"

	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// keyDelimiter separates koanf's keys. It is not a dot, because names of routes may contain dots.
const keyDelimiter = "\x00"

// fieldTag is the struct tag that names the keys of a file.
const fieldTag = "koanf"

// Parse reads and validates an operator's file in TOML or JSON. The error joins one error of kind
// Invalid, with its key and remedy, for each reason to reject the file. A file that is too large is an
// error of kind TooLarge.
func Parse(raw []byte) (*Spec, error) {
	if len(raw) > MaxSpec {
		return nil, apierror.New(apierror.TooLarge, "", "shorten it", "the file has %d bytes, at most %d are taken", len(raw), MaxSpec)
	}
	file := koanf.New(keyDelimiter)
	if err := file.Load(rawbytes.Provider(raw), parserFor(raw)); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "", "write the file as TOML or JSON")
	}
	spec, fields := defaultSpec(), file.Raw()
	invalid := removeInvalidFields(reflect.TypeOf(spec), fields, "")
	if err := unmarshalFields(fields, &spec); err != nil {
		return nil, apierror.Wrap(err, apierror.Invalid, "", "write the file as the example is")
	}
	reported := map[string]bool{}
	for _, err := range invalid {
		reported[keyOf(err)] = true
	}
	for _, err := range spec.validationErrors() {
		if !reported[keyOf(err)] {
			invalid = append(invalid, err)
		}
	}
	if err := joinSorted(invalid); err != nil {
		return nil, err
	}
	return &spec, nil
}

// parserFor returns the parser of the file's format.
func parserFor(raw []byte) koanf.Parser {
	if strings.HasPrefix(strings.TrimSpace(string(raw)), "{") {
		return jsonParser{}
	}
	return toml.Parser()
}

// unmarshalFields sets the spec's fields that a file contains.
func unmarshalFields(fields map[string]any, spec *Spec) error {
	valid := koanf.New(keyDelimiter)
	if err := valid.Load(mapProvider(fields), nil); err != nil {
		return err
	}
	return valid.UnmarshalWithConf("", spec, koanf.UnmarshalConf{Tag: fieldTag})
}

// joinSorted joins errors in the order of their messages. It returns nil if there is none.
func joinSorted(errs []error) error {
	slices.SortFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(errs...)
}

// jsonParser parses JSON without the loss of large numbers that koanf's own parser has.
type jsonParser struct{}

func (jsonParser) Unmarshal(b []byte) (map[string]any, error) {
	var m map[string]any
	err := json.Unmarshal(b, &m)
	return m, err
}

func (jsonParser) Marshal(m map[string]any) ([]byte, error) { return json.Marshal(m) }

// mapProvider passes a parsed map to koanf.
type mapProvider map[string]any

func (m mapProvider) Read() (map[string]any, error) { return m, nil }

func (m mapProvider) ReadBytes() ([]byte, error) { return nil, errors.New("a map has no bytes") }

// removeInvalidFields removes the fields from a file that the struct type does not have or that have
// the wrong type, and returns an error for each. parent is the key of the table that has the fields.
func removeInvalidFields(structType reflect.Type, fields map[string]any, parent string) (invalid []error) {
	types := map[string]reflect.Type{}
	var names []string
	for i := range structType.NumField() {
		field := structType.Field(i)
		name := field.Tag.Get(fieldTag)
		types[name] = field.Type
		names = append(names, name)
	}
	for name, value := range fields {
		key := strings.TrimPrefix(parent+"."+name, ".")
		fieldType, ok := types[name]
		if !ok {
			invalid = append(invalid, apierror.New(apierror.Invalid, key, "use one of "+strings.Join(names, ", "), "there is no such key"))
			delete(fields, name)
			continue
		}
		errs, keep := checkField(fieldType, value, key)
		invalid = append(invalid, errs...)
		if !keep {
			delete(fields, name)
		}
	}
	return invalid
}

// checkField removes the invalid parts of one field's value and returns an error for each. keep is
// false if the value as a whole is invalid.
func checkField(fieldType reflect.Type, value any, key string) (invalid []error, keep bool) {
	table, isTable := value.(map[string]any)
	switch {
	case fieldType.Kind() == reflect.Struct && isTable:
		return removeInvalidFields(fieldType, table, key), true
	case fieldType.Kind() == reflect.Map && isTable:
		for name, item := range table {
			errs, keep := checkField(fieldType.Elem(), item, key+"."+name)
			invalid = append(invalid, errs...)
			if !keep {
				delete(table, name)
			}
		}
		return invalid, true
	}
	if want := expectedForm(fieldType, value); want != "" {
		return []error{apierror.New(apierror.Invalid, key, "give "+want, "it is %.60s", fmt.Sprint(value))}, false
	}
	return nil, true
}

// keyOf returns the key that an error is about.
func keyOf(err error) string {
	var e *apierror.Error
	if errors.As(err, &e) {
		return e.Key
	}
	return ""
}

// expectedForm describes the type of value that a field requires, or returns "" if the value has it.
func expectedForm(fieldType reflect.Type, value any) string {
	switch fieldType.Kind() {
	case reflect.Int:
		if x, ok := number(value); !ok || x != math.Trunc(x) || math.Abs(x) > math.MaxInt32 {
			return "a whole number"
		}
	case reflect.Float64:
		if _, ok := number(value); !ok {
			return "a number"
		}
	case reflect.String:
		if _, ok := value.(string); !ok {
			return "a text in quotes"
		}
	case reflect.Slice:
		list, ok := value.([]any)
		invalid := func(item any) bool { return expectedForm(fieldType.Elem(), item) != "" }
		if !ok || slices.ContainsFunc(list, invalid) {
			return "a list of whole numbers"
		}
	default:
		return "a table"
	}
	return ""
}

// number converts a numeric value to a float64. ok is false if the value is not a number.
func number(value any) (x float64, ok bool) {
	switch n := value.(type) {
	case float64:
		return n, true
	case int64:
		return float64(n), true
	}
	return 0, false
}
