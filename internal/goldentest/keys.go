package goldentest

import (
	"reflect"
	"strings"
)

// arrayMarker is the field by which msgpack encodes a struct as an array.
const arrayMarker = "_msgpack"

// fieldsWithoutKey returns the exported fields, of a type and of those that it contains, whose key is
// their Go name for want of a tag. Embedded structs are left out: their fields are those of the
// struct around them.
func fieldsWithoutKey(typ reflect.Type, tag string) []string {
	visited := map[reflect.Type]bool{}
	var missing []string
	var visit func(reflect.Type)
	visit = func(typ reflect.Type) {
		if visited[typ] {
			return
		}
		visited[typ] = true
		switch typ.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
			visit(typ.Elem())
		case reflect.Struct:
			_, array := typ.FieldByName(arrayMarker)
			for i := range typ.NumField() {
				field := typ.Field(i)
				key, _, _ := strings.Cut(field.Tag.Get(tag), ",")
				if field.IsExported() && !field.Anonymous && !array && key == "" {
					missing = append(missing, typ.String()+"."+field.Name)
				}
				if field.IsExported() || field.Anonymous {
					visit(field.Type)
				}
			}
		}
	}
	visit(typ)
	return missing
}
