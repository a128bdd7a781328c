package declaration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"

	"heatherhub.example/heatherhub"
)

// UndeclaredPolicy tells what happens to items in force that the set does not declare.
type UndeclaredPolicy bool

// What may happen to items that the set does not declare.
const (
	KeepUndeclared   UndeclaredPolicy = false
	DeleteUndeclared UndeclaredPolicy = true
)

// Merge returns the configuration that comes out of putting the set over what is
// in force. The preset in force stays in force; the initial preset is used only
// where there is none. The result is not checked and keeps the version of base.
func (s *Set) Merge(base *heatherhub.Snapshot, u UndeclaredPolicy) *heatherhub.Snapshot {
	next := &heatherhub.Snapshot{Version: base.Version, InForce: base.InForce}
	next.Teams = merge(base.Teams, s.Teams, u, func(t heatherhub.Team) heatherhub.TeamID { return t.ID })
	next.Workloads = merge(base.Workloads, s.Workloads, u, func(w heatherhub.Workload) heatherhub.WorkloadID { return w.ID })
	next.Presets = merge(base.Presets, s.Presets, u, func(p heatherhub.Preset) heatherhub.PresetID { return p.ID })
	if next.InForce == "" {
		next.InForce = s.Initial
	}
	if next.InForce == "" && len(next.Presets) > 0 {
		next.InForce = next.Presets[0].ID
	}
	return next
}

// merge keeps the order of the declared items and puts kept ones after them.
func merge[T any, K comparable](base, declared []T, u UndeclaredPolicy, id func(T) K) []T {
	out := make([]T, 0, len(base)+len(declared))
	seen := make(map[K]bool, len(declared))
	for _, item := range declared {
		out = append(out, item)
		seen[id(item)] = true
	}
	if u == DeleteUndeclared {
		return out
	}
	for _, item := range base {
		if !seen[id(item)] {
			out = append(out, item)
		}
	}
	return out
}

// Op tells what a change does to an item.
type Op string

// Operations of a change.
const (
	OpAdd    Op = "add"
	OpChange Op = "change"
	OpDelete Op = "delete"
)

// FieldChange is one field that differs.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Change is one item that differs between two configurations.
type Change struct {
	Op Op `json:"op"`
	// Kind is team, workload, preset or inForce.
	Kind   string        `json:"kind"`
	ID     string        `json:"id"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// Diff returns what differs between two configurations: teams, workloads,
// presets, then the preset in force. The order of items does not count.
func Diff(from, to *heatherhub.Snapshot) []Change {
	var changes []Change
	changes = append(changes, diffItems("team", from.Teams, to.Teams, func(t heatherhub.Team) string { return string(t.ID) })...)
	changes = append(changes, diffItems("workload", from.Workloads, to.Workloads, func(w heatherhub.Workload) string { return string(w.ID) })...)
	changes = append(changes, diffItems("preset", from.Presets, to.Presets, func(p heatherhub.Preset) string { return string(p.ID) })...)
	if from.InForce != to.InForce {
		field := FieldChange{Field: "inForce", From: string(from.InForce), To: string(to.InForce)}
		changes = append(changes, Change{Op: OpChange, Kind: "inForce", ID: string(to.InForce), Fields: []FieldChange{field}})
	}
	return changes
}

func diffItems[T any](kind string, from, to []T, id func(T) string) []Change {
	old := make(map[string]T, len(from))
	for _, item := range from {
		old[id(item)] = item
	}
	var changes []Change
	for _, item := range to {
		before, ok := old[id(item)]
		delete(old, id(item))
		if !ok {
			changes = append(changes, Change{Op: OpAdd, Kind: kind, ID: id(item)})
			continue
		}
		if fields := diffFields(before, item); len(fields) > 0 {
			changes = append(changes, Change{Op: OpChange, Kind: kind, ID: id(item), Fields: fields})
		}
	}
	for _, gone := range sortedKeys(old) {
		changes = append(changes, Change{Op: OpDelete, Kind: kind, ID: gone})
	}
	return changes
}

// diffFields compares two structs field by field. An empty list equals no list.
func diffFields(from, to any) []FieldChange {
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	var out []FieldChange
	for i := range a.NumField() {
		before, after := fieldText(a.Field(i)), fieldText(b.Field(i))
		if before != after {
			out = append(out, FieldChange{Field: a.Type().Field(i).Tag.Get("yaml"), From: before, To: after})
		}
	}
	return out
}

func fieldText(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "[]"
	}
	if s, ok := v.Interface().(fmt.Stringer); ok {
		return s.String()
	}
	if v.Kind() == reflect.Struct || v.Kind() == reflect.Slice {
		text, err := json.Marshal(v.Interface())
		if err == nil {
			return string(text)
		}
	}
	return fmt.Sprint(v.Interface())
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
