package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Timing of the health checks, similar to a load balancer's.
const (
	healthInterval = 500 * time.Millisecond
	healthTimeout  = 400 * time.Millisecond
)

// targets selects entry hosts round-robin, preferring healthy ones.
type targets struct {
	addresses []string
	isDown    []atomic.Bool
	next      atomic.Uint64
	clock     clockwork.Clock
	http      *http.Client
}

func newTargets(cfg Config) *targets {
	transport := &http.Transport{MaxIdleConnsPerHost: cfg.InFlight, MaxIdleConns: 0, IdleConnTimeout: time.Minute}
	return &targets{
		addresses: cfg.Targets,
		isDown:    make([]atomic.Bool, len(cfg.Targets)),
		clock:     cfg.Clock,
		http:      &http.Client{Transport: transport},
	}
}

// rotation returns every address once: the healthy ones in round-robin order, then the
// others.
func (t *targets) rotation() []string {
	n := len(t.addresses)
	start := int(t.next.Add(1) % uint64(n))
	healthy := make([]string, 0, n)
	var down []string
	for k := range n {
		i := (start + k) % n
		if t.isDown[i].Load() {
			down = append(down, t.addresses[i])
		} else {
			healthy = append(healthy, t.addresses[i])
		}
	}
	return append(healthy, down...)
}

// checkHealth probes all targets every healthInterval until ctx ends.
func (t *targets) checkHealth(ctx context.Context) {
	defer t.http.CloseIdleConnections()
	for {
		for i, a := range t.addresses {
			t.isDown[i].Store(!t.isHealthy(ctx, a))
		}
		select {
		case <-ctx.Done():
			return
		case <-t.clock.After(healthInterval):
		}
	}
}

func (t *targets) isHealthy(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := t.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
