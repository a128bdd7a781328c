package standin

import (
	"net/http"
	"slices"
	"sync"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/platform"
)

// partition blocks calls between failure domains and to the platform. The domain
// of a caller is taken from the header platform.HeaderDomain; calls without the
// header pass.
type partition struct {
	mu      sync.Mutex
	domains []heatherhub.FailureDomain
	// changed is closed and replaced when domains changes.
	changed chan struct{}
}

func newPartition() *partition {
	return &partition{changed: make(chan struct{})}
}

// setDomains replaces the list of domains that are cut off.
func (p *partition) setDomains(domains []heatherhub.FailureDomain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domains = slices.Clone(domains)
	close(p.changed)
	p.changed = make(chan struct{})
}

// isBlocked reports whether two domains cannot reach each other, and returns a
// channel that is closed at the next change. The empty domain is the platform.
func (p *partition) isBlocked(from, to heatherhub.FailureDomain) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	blocked := from != to && (slices.Contains(p.domains, from) || slices.Contains(p.domains, to))
	return blocked, p.changed
}

// blockCalls returns a handler that leaves blocked calls unanswered until their
// caller gives up or the partition changes, and then closes the connection.
func (p *partition) blockCalls(to heatherhub.FailureDomain, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := heatherhub.FailureDomain(r.Header.Get(platform.HeaderDomain))
		blocked, changed := p.isBlocked(from, to)
		if from == "" || !blocked {
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
