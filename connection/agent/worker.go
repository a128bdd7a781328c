package agent

import (
	"net/netip"
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

// Check returns the first error of the registration as heatherhub.ErrInvalid.
func (w *Worker) Check() error {
	if w.ID == "" {
		return heatherhub.ErrInvalid.New("worker id is empty: set an id")
	}
	if _, err := netip.ParseAddrPort(w.Address); err != nil {
		return heatherhub.ErrInvalid.New("worker %s: invalid address %q: use an IP address and a port, for example 10.0.0.9:7100", w.ID, w.Address)
	}
	return w.Capacity.Check()
}
