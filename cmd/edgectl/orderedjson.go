package main

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// orderedObject is a JSON object whose fields keep the order of the decoded text.
type orderedObject []field

type field struct {
	key   string
	value any
}

// decodeOrdered decodes JSON to nil, a bool, a json.Number, a string, a []any or an orderedObject.
func decodeOrdered(raw []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	return decodeValue(decoder)
}

// decodeValue decodes the next value of a decoder.
func decodeValue(decoder *json.Decoder) (any, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('['):
		return decodeArray(decoder)
	case json.Delim('{'):
		return decodeObject(decoder)
	}
	return token, nil
}

// decodeArray decodes the rest of an array after its opening bracket.
func decodeArray(decoder *json.Decoder) (any, error) {
	list := []any{}
	for decoder.More() {
		element, err := decodeValue(decoder)
		if err != nil {
			return nil, err
		}
		list = append(list, element)
	}
	_, err := decoder.Token()
	return list, err
}

// decodeObject decodes the rest of an object after its opening brace.
func decodeObject(decoder *json.Decoder) (any, error) {
	object := orderedObject{}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		value, err := decodeValue(decoder)
		if err != nil {
			return nil, err
		}
		object = append(object, field{fmt.Sprint(key), value})
	}
	_, err := decoder.Token()
	return object, err
}
