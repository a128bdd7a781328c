package route_test

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/request/route"
)

// stuckWorker doesn't answer until its context ends.
type stuckWorker struct {
	started chan struct{}
	ended   chan error
}

func (w *stuckWorker) Serve(ctx context.Context, _ heatherhub.WorkerID, _ worker.Request) (worker.Answer, error) {
	close(w.started)
	<-ctx.Done()
	w.ended <- ctx.Err()
	return worker.Answer{}, heatherhub.ErrUnknown.New("no answer")
}

// TestLateRequestKeepsItsSlot checks that a caller that cancels gets its outcome at
// once, and that the slot stays taken until the call to the worker ends. A slot that
// is freed earlier lets a worker get more requests than it has slots.
func TestLateRequestKeepsItsSlot(t *testing.T) {
	s := newSite(nil)
	h := s.hosts["e2"]
	w := &stuckWorker{started: make(chan struct{}), ended: make(chan error, 1)}
	registry := prometheus.NewRegistry()
	o := route.NewOwner(route.OwnerConfig{
		Directory: h, Replicas: h, Keys: h, Workers: w, Peers: s, Metrics: route.NewMetrics(registry),
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	result := make(chan error, 1)
	s.wg.Go(func() {
		_, err := o.Serve(ctx, "e1", route.ServeCall{ID: "r1", Workload: "look", Shard: leuven})
		result <- err
	})
	<-w.started
	cancel() // the caller no longer waits
	if got, want := heatherhub.CodeOf(<-result), heatherhub.CodeUnknown; got != want {
		t.Errorf("got code %q, want %q", got, want)
	}
	if got, want := gauge(t, registry, "heatherhub_owner_in_flight"), 1.0; got != want {
		t.Errorf("got %v slots held, want %v", got, want)
	}
	o.Close()
	if err := <-w.ended; err == nil {
		t.Error("got no error from the worker's context, want it cancelled by Close")
	}
	if got, want := gauge(t, registry, "heatherhub_owner_queued"), 0.0; got != want {
		t.Errorf("got %v requests queued, want %v", got, want)
	}
	s.wg.Wait()
}

// gauge returns the value of the first metric of a gauge.
func gauge(t *testing.T, r *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatalf("got no metric %s, want one", name)
	return 0
}
