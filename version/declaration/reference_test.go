package declaration_test

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"heatherhub.example/heatherhub"
)

// fieldPaths returns the YAML paths of all leaf fields of a type, with a dot between a
// field and its subfield. For a list of structs it returns the list itself and the fields
// of its items.
func fieldPaths(t reflect.Type, prefix string) []string {
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("yaml")
		switch {
		case f.Type.Kind() == reflect.Struct:
			names = append(names, fieldPaths(f.Type, name+".")...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			names = append(names, name)
			names = append(names, fieldPaths(f.Type.Elem(), name+".")...)
		default:
			names = append(names, name)
		}
	}
	return names
}

// TestReferenceListsEveryField checks that the tables in docs/operate/declarations.md list
// the fields of the types, in the same order.
func TestReferenceListsEveryField(t *testing.T) {
	data, err := os.ReadFile("../../docs/operate/declarations.md")
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile("(?m)^\\| `([^`]+)`")
	for section, typ := range map[string]reflect.Type{
		"TeamList":     reflect.TypeFor[heatherhub.Team](),
		"WorkloadList": reflect.TypeFor[heatherhub.Workload](),
		"PresetList":   reflect.TypeFor[heatherhub.Preset](),
	} {
		_, text, ok := strings.Cut(string(data), "\n## "+section+"\n")
		if !ok {
			t.Errorf("got no section %s, want one", section)
			continue
		}
		text, _, _ = strings.Cut(text, "\n## ")
		var got []string
		for _, m := range row.FindAllStringSubmatch(text, -1) {
			got = append(got, m[1])
		}
		if want := fieldPaths(typ, ""); !slices.Equal(got, want) {
			t.Errorf("%s: got rows %v, want %v", section, got, want)
		}
	}
}
