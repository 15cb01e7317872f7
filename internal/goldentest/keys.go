package goldentest

import (
	"reflect"
	"strings"
)

// arrayMarker is the name of the field that makes msgpack encode a struct as an array.
const arrayMarker = "_msgpack"

// fieldsWithoutKey returns the exported fields of a type, and of the types it contains, that have no tag
// for their key and are therefore encoded under their Go name. Embedded structs are left out, as their
// fields are encoded as those of the enclosing struct.
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
			_, isArray := typ.FieldByName(arrayMarker)
			for i := range typ.NumField() {
				field := typ.Field(i)
				key, _, _ := strings.Cut(field.Tag.Get(tag), ",")
				if field.IsExported() && !field.Anonymous && !isArray && key == "" {
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
