package standin

import (
	"net/http"
	"slices"
	"sync"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/platform"
)

// partition cuts failure domains off from the platform and from each other, by
// the domain that callers name in their calls.
type partition struct {
	mu      sync.Mutex
	domains []heatherhub.FailureDomain
	changed chan struct{}
}

func newPartition() *partition {
	return &partition{changed: make(chan struct{})}
}

// setDomains replaces the domains that are cut off.
func (p *partition) setDomains(domains []heatherhub.FailureDomain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domains = slices.Clone(domains)
	close(p.changed)
	p.changed = make(chan struct{})
}

// isBlocked reports whether two domains cannot reach each other, and a channel that
// tells of a change. The platform itself is the empty domain.
func (p *partition) isBlocked(from, to heatherhub.FailureDomain) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isCut := from != to && (slices.Contains(p.domains, from) || slices.Contains(p.domains, to))
	return isCut, p.changed
}

// blockCalls lets calls that cannot pass wait without an answer.
func (p *partition) blockCalls(to heatherhub.FailureDomain, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := heatherhub.FailureDomain(r.Header.Get(platform.HeaderDomain))
		isCut, changed := p.isBlocked(from, to)
		if from == "" || !isCut {
			next.ServeHTTP(w, r)
			return
		}
		select {
		case <-r.Context().Done():
		case <-changed:
		}
		panic(http.ErrAbortHandler)
	})
}
