package declaration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"

	"heatherhub.example/heatherhub"
)

// UndeclaredPolicy is the treatment of configured items that a set does not declare.
type UndeclaredPolicy bool

// Policies for undeclared items.
const (
	KeepUndeclared   UndeclaredPolicy = false
	DeleteUndeclared UndeclaredPolicy = true
)

// Merge returns the configuration base with the declared items added or replaced. The
// policy decides whether other items of base are kept. The preset in force stays in
// force; if there is none, it is the initial preset or else the first one. The result is
// not checked and keeps the version of base.
func (s *Set) Merge(base *heatherhub.Snapshot, policy UndeclaredPolicy) *heatherhub.Snapshot {
	next := &heatherhub.Snapshot{Version: base.Version, InForce: base.InForce}
	next.Teams = merge(base.Teams, s.Teams, policy, func(t heatherhub.Team) heatherhub.TeamID { return t.ID })
	next.Workloads = merge(base.Workloads, s.Workloads, policy, func(w heatherhub.Workload) heatherhub.WorkloadID { return w.ID })
	next.Presets = merge(base.Presets, s.Presets, policy, func(p heatherhub.Preset) heatherhub.PresetID { return p.ID })
	if next.InForce == "" {
		next.InForce = s.Initial
	}
	if next.InForce == "" && len(next.Presets) > 0 {
		next.InForce = next.Presets[0].ID
	}
	return next
}

// merge returns the declared items in their order, followed by the items of base that
// are kept.
func merge[T any, K comparable](base, declared []T, policy UndeclaredPolicy, id func(T) K) []T {
	out := make([]T, 0, len(base)+len(declared))
	seen := make(map[K]bool, len(declared))
	for _, item := range declared {
		out = append(out, item)
		seen[id(item)] = true
	}
	if policy == DeleteUndeclared {
		return out
	}
	for _, item := range base {
		if !seen[id(item)] {
			out = append(out, item)
		}
	}
	return out
}

// Op is the operation of a change.
type Op string

// Operations on items.
const (
	OpAdd    Op = "add"
	OpChange Op = "change"
	OpDelete Op = "delete"
)

// FieldChange is the old and new value of one field.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Change is the difference in one item between two configurations.
type Change struct {
	Op Op `json:"op"`
	// Kind is team, workload, preset or inForce.
	Kind string `json:"kind"`
	ID   string `json:"id"`
	// Fields lists the fields that differ, for OpChange only.
	Fields []FieldChange `json:"fields,omitempty"`
}

// Diff returns the differences between two configurations in this order: teams,
// workloads, presets, preset in force. It ignores the order of items.
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
	// remaining holds the items of from that have not been found in to.
	remaining := make(map[string]T, len(from))
	for _, item := range from {
		remaining[id(item)] = item
	}
	var changes []Change
	for _, item := range to {
		before, ok := remaining[id(item)]
		delete(remaining, id(item))
		if !ok {
			changes = append(changes, Change{Op: OpAdd, Kind: kind, ID: id(item)})
			continue
		}
		if fields := diffFields(before, item); len(fields) > 0 {
			changes = append(changes, Change{Op: OpChange, Kind: kind, ID: id(item), Fields: fields})
		}
	}
	for _, deleted := range sortedKeys(remaining) {
		changes = append(changes, Change{Op: OpDelete, Kind: kind, ID: deleted})
	}
	return changes
}

// diffFields compares two structs of the same type field by field. A nil slice and an
// empty slice are equal.
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

// fieldText formats a field for display: as JSON if it is a struct or a slice.
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
