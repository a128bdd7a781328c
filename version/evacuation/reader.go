package evacuation

import (
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
)

// Reader puts the requests in force that a watch of the operators' keys reports.
type Reader struct {
	Current *Current
	// Decode returns the failure domain that a key asks to evacuate. It reports false for
	// keys of another kind.
	Decode func(key string) (heatherhub.FailureDomain, bool, error)
	Log    *zap.Logger
}

// ApplySnapshot replaces the set in force by the requests of a snapshot. A request that the
// snapshot lacks was withdrawn.
func (r *Reader) ApplySnapshot(s ledger.Snapshot, now time.Time) {
	var requests []Request
	for _, it := range s.Items {
		if d, ok := r.decode(it.Key); ok {
			requests = append(requests, Request{Domain: d, Revision: it.Revision, Created: it.Created, Since: now})
		}
	}
	old := r.Current.Load()
	r.Current.Replace(requests)
	r.logDifference(old, s.Revision)
}

// ApplyChanges applies the requests and withdrawals among events.
func (r *Reader) ApplyChanges(events []ledger.Event, now time.Time) {
	var changes []Change
	for _, e := range events {
		if d, ok := r.decode(e.Key); ok {
			changes = append(changes, Change{Request: Request{Domain: d, Revision: e.Revision, Created: e.Created, Since: now}, IsWithdrawn: e.Deleted})
		}
	}
	if len(changes) == 0 {
		return
	}
	old := r.Current.Load()
	r.Current.Apply(changes)
	for _, c := range changes {
		if old.Has(c.Domain) == r.Current.Load().Has(c.Domain) {
			r.Log.Info("evacuation unchanged", zap.String("failureDomain", string(c.Domain)), zap.Bool("withdrawn", c.IsWithdrawn), zap.Uint64("revision", uint64(c.Revision)))
		}
	}
	r.logDifference(old, changes[len(changes)-1].Revision)
}

// decode is Decode for keys whose errors are logged.
func (r *Reader) decode(key string) (heatherhub.FailureDomain, bool) {
	d, ok, err := r.Decode(key)
	if err != nil {
		r.Log.Error("evacuation refused", zap.String("key", key), zap.Error(err))
		return "", false
	}
	return d, ok
}

// logDifference logs how the set in force differs from a former one.
func (r *Reader) logDifference(old Set, rev ledger.Revision) {
	set := r.Current.Load()
	for _, v := range set.Requests() {
		if !old.Has(v.Domain) {
			r.Log.Warn("evacuation requested", zap.String("failureDomain", string(v.Domain)), zap.Uint64("revision", uint64(v.Revision)))
		}
	}
	for _, v := range old.Requests() {
		if !set.Has(v.Domain) {
			r.Log.Warn("evacuation over", zap.String("failureDomain", string(v.Domain)), zap.Uint64("revision", uint64(rev)), zap.Time("since", v.Since))
		}
	}
}
