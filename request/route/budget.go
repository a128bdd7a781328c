package route

import (
	"sync"

	"heatherhub.example/heatherhub"
)

const (
	// maxRetryTokens is the largest number of retries saved up by one workload.
	maxRetryTokens = 20
	// initialRetryTokens is the number of retries that a workload starts with.
	initialRetryTokens = 5
)

// retryBudgets bounds the retries of each workload to a share of its requests. Each
// workload has its own lock.
type retryBudgets struct {
	ratio      float64
	byWorkload sync.Map
}

type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudgets(share float64) *retryBudgets {
	return &retryBudgets{ratio: share}
}

func (b *retryBudgets) get(w heatherhub.WorkloadID) *retryBudget {
	if v, ok := b.byWorkload.Load(w); ok {
		return v.(*retryBudget)
	}
	v, _ := b.byWorkload.LoadOrStore(w, &retryBudget{tokens: initialRetryTokens})
	return v.(*retryBudget)
}

// deposit counts a request.
func (b *retryBudgets) deposit(w heatherhub.WorkloadID) {
	t := b.get(w)
	t.mu.Lock()
	t.tokens = min(t.tokens+b.ratio, maxRetryTokens)
	t.mu.Unlock()
}

// withdraw takes one retry out of the budget, if there is one.
func (b *retryBudgets) withdraw(w heatherhub.WorkloadID) bool {
	t := b.get(w)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
