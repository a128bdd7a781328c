package route

import (
	"sync"

	"heatherhub.example/heatherhub"
)

const (
	// maxRetryTokens is the largest number of retries that a workload can save up.
	maxRetryTokens = 20
	// initialRetryTokens is the number of retries available before any request.
	initialRetryTokens = 5
)

// retryBudgets bounds the retries of each workload to a ratio of its requests, with
// one token bucket for each workload. It is safe for concurrent use.
type retryBudgets struct {
	ratio      float64
	byWorkload sync.Map
}

// retryBudget is the token bucket of one workload; one token pays for one retry.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudgets(ratio float64) *retryBudgets {
	return &retryBudgets{ratio: ratio}
}

func (b *retryBudgets) get(w heatherhub.WorkloadID) *retryBudget {
	if v, ok := b.byWorkload.Load(w); ok {
		return v.(*retryBudget)
	}
	v, _ := b.byWorkload.LoadOrStore(w, &retryBudget{tokens: initialRetryTokens})
	return v.(*retryBudget)
}

// deposit adds the tokens that one request earns.
func (b *retryBudgets) deposit(w heatherhub.WorkloadID) {
	budget := b.get(w)
	budget.mu.Lock()
	budget.tokens = min(budget.tokens+b.ratio, maxRetryTokens)
	budget.mu.Unlock()
}

// withdraw takes one token and reports whether there was one.
func (b *retryBudgets) withdraw(w heatherhub.WorkloadID) bool {
	budget := b.get(w)
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
