package agent

import (
	"net/netip"
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Worker is one life of a worker machine as it registered itself.
type Worker struct {
	ID       heatherhub.WorkerID
	Pool     heatherhub.PoolID
	Address  string
	Domain   heatherhub.FailureDomain
	Rack     heatherhub.Rack
	Labels   []string
	Capacity heatherhub.Resources
	// Draining says that the worker leaves and must get no new task.
	Draining bool
	// DrainRemaining is the least time that a draining worker stays.
	DrainRemaining time.Duration
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool {
	return slices.Contains(w.Labels, label)
}

// Check reports the first error of the entry.
func (w *Worker) Check() error {
	if w.ID == "" {
		return heatherhub.ErrInvalid.New("a worker has no id")
	}
	if _, err := netip.ParseAddrPort(w.Address); err != nil {
		return heatherhub.ErrInvalid.New("worker %s has the address %q: use an IP address and a port", w.ID, w.Address)
	}
	return w.Capacity.Check()
}
