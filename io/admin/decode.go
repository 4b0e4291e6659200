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

// decodeStrict decodes a JSON body into v, a pointer to a struct. It returns a fault for each value of the wrong type
// and for each unknown field, because a misspelt field would otherwise be ignored silently. Fields without a fault are
// decoded, so that one response can report both decoding and validation faults.
func decodeStrict(raw []byte, v any) (object.Faults, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return nil, newProblem(http.StatusBadRequest, "malformed", "the body is not valid JSON: %s", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, newProblem(http.StatusBadRequest, "malformed", "the body has data after the JSON value")
	}
	if _, ok := tree.(map[string]any); !ok {
		return nil, newProblem(http.StatusBadRequest, "malformed", "the body must be a JSON object")
	}
	faults := typeFaults("", tree, reflect.TypeOf(v).Elem())
	if err := json.Unmarshal(raw, v); err != nil && len(faults) == 0 {
		return nil, newProblem(http.StatusBadRequest, "malformed", "the body is not valid: %s", err)
	}
	return faults, nil
}

// mergeFaults appends the validation faults to the decoding faults, except for fields that already have a decoding
// fault.
func mergeFaults(decoding, validation object.Faults) object.Faults {
	out := slices.Clone(decoding)
	for _, f := range validation {
		known := slices.ContainsFunc(decoding, func(d object.Fault) bool { return d.Path == f.Path })
		if !known {
			out = append(out, f)
		}
	}
	return out
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// typeFaults compares a decoded JSON value with the Go type that it is decoded into. A type with its own
// UnmarshalJSON is taken for a time.
func typeFaults(path string, v any, t reflect.Type) object.Faults {
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		raw, err := json.Marshal(v)
		ok := err == nil && v != nil && json.Unmarshal(raw, reflect.New(t).Interface()) == nil
		return faultUnless(ok, path, "must be a time such as 2026-12-31T00:00:00Z")
	}
	switch t.Kind() {
	case reflect.Struct:
		return structTypeFaults(path, v, t)
	case reflect.Slice:
		return sliceTypeFaults(path, v, t)
	case reflect.String:
		_, ok := v.(string)
		return faultUnless(ok, path, "must be a string")
	case reflect.Bool:
		_, ok := v.(bool)
		return faultUnless(ok, path, "must be true or false")
	default:
		n, ok := v.(json.Number)
		_, err := strconv.ParseInt(n.String(), 10, t.Bits())
		return faultUnless(ok && err == nil, path, "must be a whole number")
	}
}

// faultUnless returns a fault for path if ok is false.
func faultUnless(ok bool, path, message string) object.Faults {
	if ok {
		return nil
	}
	return object.Faults{{Path: path, Message: message}}
}

func structTypeFaults(path string, v any, t reflect.Type) object.Faults {
	values, ok := v.(map[string]any)
	if !ok {
		return faultUnless(false, path, "must be an object")
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
	var faults object.Faults
	for _, name := range names {
		field, known := types[name]
		if !known {
			faults = append(faults, object.Fault{Path: path + name, Message: "is not a field of this object"})
			continue
		}
		faults = append(faults, typeFaults(path+name, values[name], field)...)
	}
	return faults
}

// sliceTypeFaults accepts null, because a nil slice is encoded as null.
func sliceTypeFaults(path string, v any, t reflect.Type) object.Faults {
	if v == nil {
		return nil
	}
	items, ok := v.([]any)
	if !ok {
		return faultUnless(false, path, "must be an array")
	}
	var faults object.Faults
	for i, item := range items {
		faults = append(faults, typeFaults(path+"["+strconv.Itoa(i)+"]", item, t.Elem())...)
	}
	return faults
}
