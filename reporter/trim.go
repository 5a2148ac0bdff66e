package reporter

import (
	"encoding"
	"encoding/json"
	"reflect"
	"strings"

	"goldcreststack.example/goldcreststack/modeler"
)

const redacted = "redacted"

// secretWords are the lower-case words that mark a name as that of a secret,
// whose value is never shown.
var secretWords = []string{"authorization", "cookie", "credential", "password", "passwd", "secret", "token", "apikey", "api-key", "private"}

// isSecretName reports whether a name contains one of secretWords.
func isSecretName(name string) bool {
	lower := strings.ToLower(name)
	for _, word := range secretWords {
		if strings.Contains(lower, word) {
			return true
		}
	}
	return false
}

// maxDepth bounds the nesting of values in a dump; deeper values are left
// out.
const maxDepth = 12

var (
	keyType           = reflect.TypeFor[modeler.Key]()
	headerType        = reflect.TypeFor[modeler.HeaderField]()
	marshalerType     = reflect.TypeFor[json.Marshaler]()
	textMarshalerType = reflect.TypeFor[encoding.TextMarshaler]()
)

// trimmer copies values, shortens their lists and removes their secrets.
type trimmer struct {
	maxItems int
	cuts     []Cut
}

// recordCut adds a shortened list to the counts of its field.
func (t *trimmer) recordCut(field string, shown, total int) {
	for i := range t.cuts {
		if t.cuts[i].Field == field {
			t.cuts[i].Shown += shown
			t.cuts[i].Total += total
			return
		}
	}
	t.cuts = append(t.cuts, Cut{Field: field, Shown: shown, Total: total})
}

// trim returns a copy of v without secrets and byte slices, and with lists
// of at most maxItems elements. Values that encode themselves are kept as
// they are.
func (t *trimmer) trim(v reflect.Value, field string, depth int) reflect.Value {
	if !v.IsValid() {
		return v
	}
	if depth > maxDepth {
		return reflect.Zero(v.Type())
	}
	if v.Type() == keyType {
		return reflect.ValueOf(redactKey(modeler.Key(v.String())))
	}
	if v.Type().Implements(marshalerType) || v.Type().Implements(textMarshalerType) {
		return v
	}
	switch v.Kind() {
	case reflect.Struct:
		return t.trimStruct(v, field, depth)
	case reflect.Slice, reflect.Array:
		return t.trimList(v, field, depth)
	case reflect.Map:
		return t.trimMap(v, field, depth)
	case reflect.Pointer:
		if v.IsNil() {
			return v
		}
		result := reflect.New(v.Type().Elem())
		result.Elem().Set(t.trim(v.Elem(), field, depth+1))
		return result
	case reflect.Interface:
		return t.trim(v.Elem(), field, depth+1)
	default:
		return v
	}
}

// redactKey keeps only the part of an idempotency key that holds its time,
// since the whole key gives access to the recorded answer.
func redactKey(key modeler.Key) modeler.Key {
	if len(key) <= 8 {
		return redacted
	}
	return key[:8] + "-" + redacted
}

func (t *trimmer) trimStruct(v reflect.Value, field string, depth int) reflect.Value {
	result := reflect.New(v.Type()).Elem()
	result.Set(v)
	for i := range v.NumField() {
		member := v.Type().Field(i)
		if !member.IsExported() {
			continue
		}
		hide := isSecretName(member.Name) || isSecretName(jsonName(member))
		if v.Type() == headerType && member.Name == "Value" {
			hide = isSecretName(v.FieldByName("Name").String())
		}
		if hide {
			result.Field(i).Set(redactedValue(member.Type))
			continue
		}
		shown := t.trim(v.Field(i), joinPath(field, jsonName(member)), depth+1)
		if shown.IsValid() {
			result.Field(i).Set(shown)
		}
	}
	return result
}

// redactedValue returns the replacement for a secret: "redacted" for a
// string type, or else the zero value.
func redactedValue(typ reflect.Type) reflect.Value {
	if typ.Kind() == reflect.String {
		return reflect.ValueOf(redacted).Convert(typ)
	}
	return reflect.Zero(typ)
}

func (t *trimmer) trimList(v reflect.Value, field string, depth int) reflect.Value {
	if v.Type().Elem().Kind() == reflect.Uint8 {
		if v.Len() > 0 {
			t.recordCut(field, 0, v.Len())
		}
		return reflect.Zero(v.Type())
	}
	if v.Kind() == reflect.Array || v.IsNil() {
		return v
	}
	shown := min(v.Len(), t.maxItems)
	if shown < v.Len() {
		t.recordCut(field, shown, v.Len())
	}
	result := reflect.MakeSlice(v.Type(), shown, shown)
	for i := range shown {
		element := t.trim(v.Index(i), field+"[]", depth+1)
		if element.IsValid() {
			result.Index(i).Set(element)
		}
	}
	return result
}

func (t *trimmer) trimMap(v reflect.Value, field string, depth int) reflect.Value {
	if v.IsNil() {
		return v
	}
	result := reflect.MakeMap(v.Type())
	for _, key := range v.MapKeys() {
		if result.Len() == t.maxItems {
			t.recordCut(field, result.Len(), v.Len())
			break
		}
		if key.Kind() == reflect.String && isSecretName(key.String()) {
			result.SetMapIndex(key, redactedValue(v.Type().Elem()))
			continue
		}
		shown := t.trim(v.MapIndex(key), field+"{}", depth+1)
		if shown.IsValid() {
			result.SetMapIndex(key, shown)
		}
	}
	return result
}

func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func jsonName(member reflect.StructField) string {
	name, _, _ := strings.Cut(member.Tag.Get("json"), ",")
	if name == "" {
		return member.Name
	}
	return name
}
