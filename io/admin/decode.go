package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"geraniumsaddle/core/object"
)

// decodeStrict decodes a JSON body into v, a pointer to a struct. It returns a fault for each unknown field, since an
// operator's misspelt field would be lost without notice, and for each value of the wrong type. The fields without a
// fault are decoded, so that they can be validated in the same answer.
func decodeStrict(raw []byte, v any) (object.Faults, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return nil, problem(http.StatusBadRequest, "malformed", "the body is not valid JSON: %s", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, problem(http.StatusBadRequest, "malformed", "the body has data after the JSON value")
	}
	if _, ok := tree.(map[string]any); !ok {
		return nil, problem(http.StatusBadRequest, "malformed", "the body must be a JSON object")
	}
	faults := shape("", tree, reflect.TypeOf(v).Elem())
	if err := json.Unmarshal(raw, v); err != nil && len(faults) == 0 {
		return nil, problem(http.StatusBadRequest, "malformed", "the body is not valid: %s", err)
	}
	return faults, nil
}

// join adds the faults of a validation to those of the decoding. A field that could not be decoded is named once.
func join(decoding, validation object.Faults) object.Faults {
	out := slices.Clone(decoding)
	for _, f := range validation {
		known := slices.ContainsFunc(decoding, func(d object.Fault) bool { return d.Path == f.Path })
		if !known {
			out = append(out, f)
		}
	}
	return out
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// shape compares a decoded JSON value with the type that it is decoded into.
func shape(path string, v any, t reflect.Type) object.Faults {
	if reflect.PointerTo(t).Implements(unmarshaler) {
		raw, err := json.Marshal(v)
		ok := err == nil && v != nil && json.Unmarshal(raw, reflect.New(t).Interface()) == nil
		return wrong(ok, path, "must be a time such as 2026-12-31T00:00:00Z")
	}
	switch t.Kind() {
	case reflect.Struct:
		return structShape(path, v, t)
	case reflect.Slice:
		return sliceShape(path, v, t)
	case reflect.String:
		_, ok := v.(string)
		return wrong(ok, path, "must be a string")
	case reflect.Bool:
		_, ok := v.(bool)
		return wrong(ok, path, "must be true or false")
	default:
		n, ok := v.(json.Number)
		_, err := strconv.ParseInt(n.String(), 10, t.Bits())
		return wrong(ok && err == nil, path, "must be a whole number")
	}
}

func wrong(ok bool, path, message string) object.Faults {
	if ok {
		return nil
	}
	return object.Faults{{Path: path, Message: message}}
}

func structShape(path string, v any, t reflect.Type) object.Faults {
	values, ok := v.(map[string]any)
	if !ok {
		return wrong(false, path, "must be an object")
	}
	if path != "" {
		path += "."
	}
	types := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		types[name] = t.Field(i).Type
	}
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	var f object.Faults
	for _, name := range names {
		field, known := types[name]
		if !known {
			f = append(f, object.Fault{Path: path + name, Message: "is not a field of this object"})
			continue
		}
		f = append(f, shape(path+name, values[name], field)...)
	}
	return f
}

// sliceShape accepts null, which is the JSON form of an empty slice.
func sliceShape(path string, v any, t reflect.Type) object.Faults {
	if v == nil {
		return nil
	}
	items, ok := v.([]any)
	if !ok {
		return wrong(false, path, "must be an array")
	}
	var f object.Faults
	for i, item := range items {
		f = append(f, shape(path+"["+strconv.Itoa(i)+"]", item, t.Elem())...)
	}
	return f
}
