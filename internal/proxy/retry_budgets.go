package proxy

import (
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/retry"
)

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	ratio  float64
	window time.Duration
	now    func() time.Time

	mu        sync.Mutex
	byService map[string]*retry.ServiceBudget
}

func newRetryBudgets(config Config, now func() time.Time) *retryBudgets {
	return &retryBudgets{ratio: config.BudgetRatio * localRetryShare, window: config.BudgetWindow, now: now, byService: make(map[string]*retry.ServiceBudget)}
}

// localRetryShare is the part of the configured ratio that a node spends on its own
// retries. The rest covers the calls that retried requests make, and restarted
// nodes, which lose the count of their retries.
const localRetryShare = 0.4

func (b *retryBudgets) forService(service string) *retry.ServiceBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewServiceBudget(b.now(), b.ratio, b.window)
		b.byService[service] = budget
	}
	return budget
}
