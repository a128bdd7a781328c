package heatherhub

import (
	"github.com/vmihailenco/msgpack/v5"
)

// Snapshot is one accepted configuration. It is stored and transmitted as a single
// value. A host replaces its snapshot only with one of a higher version.
type Snapshot struct {
	Version   Version    `msgpack:"version" json:"version"`
	Workloads []Workload `msgpack:"workloads" json:"workloads"`
	Teams     []Team     `msgpack:"teams" json:"teams"`
	Presets   []Preset   `msgpack:"presets" json:"presets"`
	// InForce is the ID of the preset in force.
	InForce PresetID `msgpack:"inForce" json:"inForce"`
}

// Workload returns the workload with the given ID, or nil if there is none. The
// pointer is into the snapshot.
func (s *Snapshot) Workload(id WorkloadID) *Workload {
	for i := range s.Workloads {
		if s.Workloads[i].ID == id {
			return &s.Workloads[i]
		}
	}
	return nil
}

// Team returns the team with the given ID, or nil if there is none. The pointer is
// into the snapshot.
func (s *Snapshot) Team(id TeamID) *Team {
	for i := range s.Teams {
		if s.Teams[i].ID == id {
			return &s.Teams[i]
		}
	}
	return nil
}

// Preset returns the preset with the given ID, or nil if there is none. The pointer
// is into the snapshot.
func (s *Snapshot) Preset(id PresetID) *Preset {
	for i := range s.Presets {
		if s.Presets[i].ID == id {
			return &s.Presets[i]
		}
	}
	return nil
}

// PresetInForce returns the preset in force, or nil if the snapshot is empty.
func (s *Snapshot) PresetInForce() *Preset {
	return s.Preset(s.InForce)
}

// Check returns all validation errors of the snapshot, so that an operator can
// correct them in one edit.
func (s *Snapshot) Check() []error {
	errs := s.checkDeclarations()
	if len(s.Presets) > 0 && s.PresetInForce() == nil {
		errs = append(errs, ErrInvalid.New("inForce %q names no preset: name one of the declared presets", s.InForce))
	}
	teams := make(map[TeamID]bool, len(s.Teams))
	for i := range s.Teams {
		teams[s.Teams[i].ID] = true
	}
	services := make(map[WorkloadID]bool, len(s.Workloads))
	for i := range s.Workloads {
		w := &s.Workloads[i]
		services[w.ID] = w.Kind == KindService
		if !teams[w.Team] {
			errs = append(errs, ErrInvalid.New("workload %s: team %q is not declared: add it to teams", w.ID, w.Team))
		}
	}
	for i := range s.Presets {
		errs = append(errs, s.Presets[i].checkServicesDeclared(services)...)
	}
	return errs
}

func (s *Snapshot) checkDeclarations() []error {
	var errs []error
	errs = append(errs, checkEach("workload", s.Workloads, func(w *Workload) (string, []error) { return string(w.ID), w.CheckAll() })...)
	errs = append(errs, checkEach("team", s.Teams, func(t *Team) (string, []error) { return string(t.ID), nonNil(t.Check()) })...)
	errs = append(errs, checkEach("preset", s.Presets, func(p *Preset) (string, []error) { return string(p.ID), p.CheckAll() })...)
	return errs
}

// checkServicesDeclared returns an error for each setting of the preset that refers to
// an undeclared service. The map says whether each declared workload is a service.
func (p *Preset) checkServicesDeclared(services map[WorkloadID]bool) []error {
	var errs []error
	for _, setting := range p.Services {
		if !services[setting.Workload] {
			errs = append(errs, ErrInvalid.New("preset %s: %q is not a declared service", p.ID, setting.Workload))
		}
	}
	return errs
}

// checkEach validates each item and rejects duplicate IDs. The function check returns
// an item's ID and its validation errors.
func checkEach[T any](kind string, items []T, check func(*T) (string, []error)) []error {
	var errs []error
	seen := make(map[string]bool, len(items))
	for i := range items {
		id, itemErrs := check(&items[i])
		errs = append(errs, itemErrs...)
		if seen[id] {
			errs = append(errs, ErrInvalid.New("%s %q is declared twice: keep one", kind, id))
		}
		seen[id] = true
	}
	return errs
}

// DecodeMsgpack decodes and validates a snapshot. It returns only the first validation
// error.
func (s *Snapshot) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire Snapshot
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	next := Snapshot(w)
	if errs := next.Check(); len(errs) > 0 {
		return errs[0]
	}
	*s = next
	return nil
}
