package goldentest

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// maxDepth is the maximum nesting depth of a type.
const maxDepth = 16

// maxEnum is the maximum value of a uint8: most are enumerations, whose values must have names.
const maxEnum = 3

var rawMessageType = reflect.TypeFor[json.RawMessage]()

// filler sets values from a counter, so that they don't depend on the names of fields.
type filler struct{ count int }

func (f *filler) next() int {
	f.count++
	return f.count
}

func (f *filler) fill(v reflect.Value, depth int) {
	if depth > maxDepth {
		panic(fmt.Sprintf("goldentest: %s nests too deep", v.Type()))
	}
	if v.Type() == rawMessageType {
		v.SetBytes(fmt.Appendf(nil, "%d", f.next()))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.next()))
	case reflect.Uint8:
		v.SetUint(uint64(f.next()%maxEnum + 1))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.next()))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0), depth+1)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		f.fillMap(v, depth)
	case reflect.Struct:
		f.fillStruct(v, depth)
	}
}

func (f *filler) fillMap(v reflect.Value, depth int) {
	key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	f.fill(key, depth+1)
	f.fill(element, depth+1)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, element)
}

func (f *filler) fillStruct(v reflect.Value, depth int) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.IsExported() || field.Anonymous && field.Type.Kind() == reflect.Struct {
			f.fill(v.Field(i), depth+1)
		}
	}
}
