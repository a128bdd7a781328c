package agent

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Worker is the registration of one incarnation of a worker.
type Worker struct {
	ID       heatherhub.WorkerID
	Pool     heatherhub.PoolID
	Address  string
	Domain   heatherhub.FailureDomain
	Rack     heatherhub.Rack
	Labels   []string
	Capacity heatherhub.Resources
	// Draining means that the worker is shutting down and must get no new task.
	Draining bool
	// DrainRemaining is the minimum time until a draining worker shuts down.
	DrainRemaining time.Duration
	// ColdRemaining is the time for which the worker remains slow.
	ColdRemaining time.Duration
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool {
	return slices.Contains(w.Labels, label)
}

// Bounds of a registration.
const (
	// MaxRemaining bounds DrainRemaining and ColdRemaining.
	MaxRemaining = 24 * time.Hour
	maxLabels    = 64
)

// Check returns the first error of the registration as heatherhub.ErrInvalid.
func (w *Worker) Check() error {
	switch {
	case w.ID == "":
		return heatherhub.ErrInvalid.New("worker id is empty: set an id")
	case len(w.Labels) > maxLabels:
		return heatherhub.ErrInvalid.New("worker %s has %d labels: use at most %d", w.ID, len(w.Labels), maxLabels)
	case w.DrainRemaining < 0 || w.DrainRemaining > MaxRemaining || w.ColdRemaining < 0 || w.ColdRemaining > MaxRemaining:
		return heatherhub.ErrInvalid.New("worker %s drains for %s and is cold for %s: use 0 to %s", w.ID, w.DrainRemaining, w.ColdRemaining, MaxRemaining)
	}
	for _, name := range append([]string{string(w.Pool), string(w.Domain), string(w.Rack)}, w.Labels...) {
		if len(name) > heatherhub.MaxNameLength {
			return heatherhub.ErrInvalid.New("worker %s has a pool, domain or label of %d bytes: use at most %d", w.ID, len(name), heatherhub.MaxNameLength)
		}
	}
	if err := heatherhub.CheckAddress("worker "+string(w.ID), w.Address); err != nil {
		return err
	}
	return w.Capacity.CheckHost()
}
