package config

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"unicode/utf8"

	"chalkdoor.example/chalkdoor/internal/fleet/apierror"
)

// The functions below walk JSON that was found valid as a whole, and hand out spans of it: items
// are kept as they came and hardly anything is allocated for the fields that nobody reads.

func invalidError(key, remedy, format string, args ...any) error {
	return apierror.New(apierror.Invalid, key, remedy, format, args...)
}

// validateObject refuses what is not exactly one JSON object.
func validateObject(raw []byte) error {
	const remedy = "send one whole JSON object"
	switch {
	case !utf8.Valid(raw):
		return invalidError("", remedy, "the body is no UTF-8")
	case json.Valid(raw):
		if b := bytes.TrimLeft(raw, " \t\r\n"); b[0] != '{' {
			return invalidError("", remedy, "the body is no JSON object")
		}
		return nil
	}
	var v json.RawMessage // says what is wrong, which Valid doesn't
	return apierror.Wrap(json.Unmarshal(raw, &v), apierror.Invalid, "", remedy)
}

func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\n' || b[i] == '\t' || b[i] == '\r') {
		i++
	}
	return i
}

// skipString returns the end of the string that begins at i.
func skipString(b []byte, i int) int {
	for i++; b[i] != '"'; i++ {
		if b[i] == '\\' {
			i++
		}
	}
	return i + 1
}

// skipValue returns the end of the value that begins at i.
func skipValue(b []byte, i int) int {
	switch b[i] {
	case '"':
		return skipString(b, i)
	case '{', '[':
		for depth := 0; ; i++ {
			switch b[i] {
			case '"':
				i = skipString(b, i) - 1
			case '{', '[':
				depth++
			case '}', ']':
				if depth--; depth == 0 {
					return i + 1
				}
			}
		}
	}
	for i < len(b) {
		switch b[i] {
		case ',', '}', ']', ' ', '\n', '\t', '\r':
			return i
		}
		i++
	}
	return i
}

// forEachMember calls fn with each key (unquoted) and value of an object, and refuses a key that comes
// twice: which of its values holds, nobody could say.
func forEachMember(obj []byte, fn func(key, val []byte) error) error {
	var (
		few  [24][]byte
		n    int
		many map[string]bool
	)
	for i := skipSpace(obj, 0) + 1; ; i++ {
		if i = skipSpace(obj, i); obj[i] == '}' {
			return nil
		}
		end := skipString(obj, i)
		key := obj[i+1 : end-1]
		if bytes.IndexByte(key, '\\') >= 0 {
			key = []byte(unquote(obj[i:end]))
		}
		twice := many[string(key)]
		for _, k := range few[:min(n, len(few))] {
			twice = twice || bytes.Equal(k, key)
		}
		if twice {
			return invalidError(truncate(key), "give it once", "the key comes twice")
		}
		if n < len(few) {
			few[n] = key
		} else {
			if many == nil {
				many = map[string]bool{}
			}
			many[string(key)] = true
		}
		n++
		i = skipSpace(obj, end)
		i = skipSpace(obj, i+1) // the colon
		end = skipValue(obj, i)
		if err := fn(key, obj[i:end]); err != nil {
			return err
		}
		if i = skipSpace(obj, end); obj[i] == '}' {
			return nil
		}
	}
}

// forEachElement calls fn with each value of an array.
func forEachElement(list []byte, fn func(i int, val []byte) error) error {
	i := skipSpace(list, 0) + 1
	for n := 0; ; n++ {
		if i = skipSpace(list, i); list[i] == ']' {
			return nil
		}
		end := skipValue(list, i)
		if err := fn(n, list[i:end]); err != nil {
			return err
		}
		if i = skipSpace(list, end); list[i] == ']' {
			return nil
		}
		i++
	}
}

// unquote unquotes a string.
func unquote(val []byte) string {
	if bytes.IndexByte(val, '\\') < 0 {
		return string(val[1 : len(val)-1])
	}
	var s string
	_ = json.Unmarshal(val, &s) // val is valid
	return s
}

func isNull(val []byte) bool   { return val[0] == 'n' }
func isObject(val []byte) bool { return val[0] == '{' }
func isArray(val []byte) bool  { return val[0] == '[' }
func isString(val []byte) bool { return val[0] == '"' }

// The readers of fields: null is as good as not there, another type is refused.

func decodeString(to *string, key, val []byte) error {
	if isNull(val) {
		return nil
	}
	if !isString(val) {
		return typeError(key, "a string")
	}
	*to = unquote(val)
	return nil
}

func decodeBool(to *bool, key, val []byte) error {
	switch val[0] {
	case 'n', 't', 'f':
		*to = val[0] == 't'
		return nil
	}
	return typeError(key, "true or false")
}

func decodeFloat(to *float64, key, val []byte) error {
	if isNull(val) {
		return nil
	}
	if val[0] != '-' && (val[0] < '0' || val[0] > '9') {
		return typeError(key, "a number")
	}
	f, err := strconv.ParseFloat(string(val), 64)
	if err != nil {
		return invalidError(truncate(key), "give a smaller number", "the number is out of range")
	}
	*to = f
	return nil
}

// decodeInt takes fractions too, rounded away from 0: half a millisecond is not none.
func decodeInt[T int | int64](to *T, key, val []byte) error {
	if n, err := strconv.ParseInt(string(val), 10, 64); err == nil {
		*to = T(n)
		return nil
	}
	var f float64
	if err := decodeFloat(&f, key, val); err != nil || isNull(val) {
		return err
	}
	if f < 0 {
		f = math.Floor(f)
	} else {
		f = math.Ceil(f)
	}
	if math.Abs(f) >= 1<<63 {
		return invalidError(truncate(key), "give a smaller number", "the number is out of range")
	}
	*to = T(f)
	return nil
}

func typeError(key []byte, want string) error {
	return invalidError(truncate(key), "give it as the protocol shows", "it has to be %s", want)
}

// truncate keeps messages short, whatever was sent.
func truncate[T string | []byte](s T) string {
	const most = 80
	if len(s) > most {
		return string(s[:most]) + "..."
	}
	return string(s)
}

// appendQuoted appends a key as JSON.
func appendQuoted(b, key []byte) []byte {
	q, _ := json.Marshal(string(key)) // a string can always be marshalled
	return append(b, q...)
}
