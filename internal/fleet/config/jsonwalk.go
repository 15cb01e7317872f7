package config

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"unicode/utf8"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// The functions below walk JSON that is known to be valid, and pass slices of it to their callbacks. Items
// thus keep their bytes, and almost nothing is allocated for fields that are not decoded.

// maxErrorText is the maximum length of quoted text in an error message, in bytes.
const maxErrorText = 80

func invalidError(key, remedy, format string, args ...any) error {
	return apierror.New(apierror.Invalid, key, remedy, format, args...)
}

func typeError(key []byte, want string) error {
	return invalidError(truncate(key), "give it as the protocol shows", "it has to be %s", want)
}

// truncate shortens text for an error message to maxErrorText bytes.
func truncate[T string | []byte](text T) string {
	if len(text) > maxErrorText {
		return string(text[:maxErrorText]) + "..."
	}
	return string(text)
}

// validateObject rejects everything except exactly one JSON object.
func validateObject(raw []byte) error {
	const remedy = "send one complete JSON object"
	switch {
	case !utf8.Valid(raw):
		return invalidError("", remedy, "the body is no UTF-8")
	case json.Valid(raw):
		if raw[skipSpace(raw, 0)] != '{' {
			return invalidError("", remedy, "the body is no JSON object")
		}
		return nil
	}
	var discarded json.RawMessage // Unmarshal returns an error that says what is wrong; Valid does not
	return apierror.Wrap(json.Unmarshal(raw, &discarded), apierror.Invalid, "", remedy)
}

func isSpace(c byte) bool { return c == ' ' || c == '\n' || c == '\t' || c == '\r' }

// skipSpace returns the position of the first byte from i on that is not white space.
func skipSpace(raw []byte, i int) int {
	for i < len(raw) && isSpace(raw[i]) {
		i++
	}
	return i
}

// skipString returns the end of the string that begins at i.
func skipString(raw []byte, i int) int {
	for i++; raw[i] != '"'; i++ {
		if raw[i] == '\\' {
			i++
		}
	}
	return i + 1
}

// skipValue returns the end of the value that begins at i.
func skipValue(raw []byte, i int) int {
	switch raw[i] {
	case '"':
		return skipString(raw, i)
	case '{', '[':
		return skipNested(raw, i)
	}
	for i < len(raw) && raw[i] != ',' && raw[i] != '}' && raw[i] != ']' && !isSpace(raw[i]) {
		i++
	}
	return i
}

// skipNested returns the end of the object or array that begins at i.
func skipNested(raw []byte, i int) int {
	for depth := 0; ; i++ {
		switch raw[i] {
		case '"':
			i = skipString(raw, i) - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return i + 1
			}
		}
	}
}

// forEachMember calls fn with each key, unquoted, and the text of its value. It rejects duplicate keys,
// because a reader could not tell which value counts.
func forEachMember(object []byte, fn func(key, value []byte) error) error {
	var seen keySet
	for i := skipSpace(object, 0) + 1; ; i++ {
		if i = skipSpace(object, i); object[i] == '}' {
			return nil
		}
		keyEnd := skipString(object, i)
		key := object[i+1 : keyEnd-1]
		if bytes.IndexByte(key, '\\') >= 0 {
			key = []byte(unquote(object[i:keyEnd]))
		}
		if !seen.add(key) {
			return invalidError(truncate(key), "give it once", "the key comes twice")
		}
		colon := skipSpace(object, keyEnd)
		i = skipSpace(object, colon+1)
		valueEnd := skipValue(object, i)
		if err := fn(key, object[i:valueEnd]); err != nil {
			return err
		}
		if i = skipSpace(object, valueEnd); object[i] == '}' {
			return nil
		}
	}
}

// keySet is the set of keys of one object. It allocates no memory for the first keys.
type keySet struct {
	firstKeys [24][]byte
	count     int
	moreKeys  map[string]bool
}

// add returns false if the set has the key already.
func (s *keySet) add(key []byte) bool {
	for _, other := range s.firstKeys[:min(s.count, len(s.firstKeys))] {
		if bytes.Equal(other, key) {
			return false
		}
	}
	if s.moreKeys[string(key)] {
		return false
	}
	if s.count < len(s.firstKeys) {
		s.firstKeys[s.count] = key
	} else {
		if s.moreKeys == nil {
			s.moreKeys = map[string]bool{}
		}
		s.moreKeys[string(key)] = true
	}
	s.count++
	return true
}

// forEachElement calls fn with each value of an array.
func forEachElement(array []byte, fn func(i int, value []byte) error) error {
	at := skipSpace(array, 0) + 1
	for i := 0; ; i++ {
		if at = skipSpace(array, at); array[at] == ']' {
			return nil
		}
		end := skipValue(array, at)
		if err := fn(i, array[at:end]); err != nil {
			return err
		}
		if at = skipSpace(array, end); array[at] == ']' {
			return nil
		}
		at++
	}
}

// unquote returns the text of a JSON string.
func unquote(value []byte) string {
	if bytes.IndexByte(value, '\\') < 0 {
		return string(value[1 : len(value)-1])
	}
	var text string
	_ = json.Unmarshal(value, &text) // the value is valid
	return text
}

// appendQuoted appends a key as a JSON string.
func appendQuoted(to, key []byte) []byte {
	quoted, _ := json.Marshal(string(key)) // a string can always be encoded
	return append(to, quoted...)
}

func isNull(value []byte) bool   { return value[0] == 'n' }
func isObject(value []byte) bool { return value[0] == '{' }
func isArray(value []byte) bool  { return value[0] == '[' }
func isString(value []byte) bool { return value[0] == '"' }

// The decoders below treat null like an absent field and reject values of any other type.

func decodeString(to *string, key, value []byte) error {
	if isNull(value) {
		return nil
	}
	if !isString(value) {
		return typeError(key, "a string")
	}
	*to = unquote(value)
	return nil
}

func decodeBool(to *bool, key, value []byte) error {
	switch value[0] {
	case 'n', 't', 'f':
		*to = value[0] == 't'
		return nil
	}
	return typeError(key, "true or false")
}

func decodeFloat(to *float64, key, value []byte) error {
	if isNull(value) {
		return nil
	}
	if value[0] != '-' && (value[0] < '0' || value[0] > '9') {
		return typeError(key, "a number")
	}
	number, err := strconv.ParseFloat(string(value), 64)
	if err != nil {
		return invalidError(truncate(key), "give a smaller number", "the number is out of range")
	}
	*to = number
	return nil
}

// decodeInt also accepts fractions and rounds them away from zero, so that 0.5 ms does not become 0.
func decodeInt[T int | int64](to *T, key, value []byte) error {
	if number, err := strconv.ParseInt(string(value), 10, 64); err == nil {
		*to = T(number)
		return nil
	}
	var number float64
	if err := decodeFloat(&number, key, value); err != nil || isNull(value) {
		return err
	}
	if number < 0 {
		number = math.Floor(number)
	} else {
		number = math.Ceil(number)
	}
	if math.Abs(number) >= 1<<63 {
		return invalidError(truncate(key), "give a smaller number", "the number is out of range")
	}
	*to = T(number)
	return nil
}
