// Package declaration reads the operators' declarations: YAML files, kept in version
// control, that define the teams, workloads and presets of a site. Parsing is strict:
// unknown fields, values of the wrong type and duplicate names are errors. One pass
// reports all of them with file, line, field and remedy, so that an operator can fix
// them together.
//
// # Usage
//
//	set, err := declaration.ReadDir(os.DirFS("sites/vanroosbroeck"))
//	if err != nil {
//		return err // a declaration.Problems has one line for each error
//	}
//	next := set.Merge(inForce, declaration.KeepUndeclared)
//	for _, c := range declaration.Diff(inForce, next) {
//		fmt.Println(c)
//	}
//
// A file holds one or more documents. Each has an apiVersion, a kind
// (WorkloadList, TeamList or PresetList) and items. The items have the fields of
// heatherhub.Workload, heatherhub.Team and heatherhub.Preset. Durations have a unit, for
// example 800ms. CPU sizes are in thousandths of a processor, memory sizes in megabytes
// of 1,000,000 bytes.
package declaration

import (
	"heatherhub.example/heatherhub"
)

// APIVersion is the format version that this package reads.
const APIVersion = "heatherhub/v1"

// Kind is the type of a document.
type Kind string

// Document types.
const (
	KindWorkloads Kind = "WorkloadList"
	KindTeams     Kind = "TeamList"
	KindPresets   Kind = "PresetList"
)

// Set contains all declarations of a directory.
type Set struct {
	Teams     []heatherhub.Team
	Workloads []heatherhub.Workload
	Presets   []heatherhub.Preset
	// Initial is the preset to put in force if none is. It does not replace a preset
	// that is already in force.
	Initial heatherhub.PresetID
}

// Snapshot returns the set as a new configuration. The result is not checked.
func (s *Set) Snapshot() *heatherhub.Snapshot {
	return s.Merge(&heatherhub.Snapshot{}, DeleteUndeclared)
}
