package proxy

import (
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/retry"
)

// budgets holds a budget of repeats for each service.
type budgets struct {
	ratio  float64
	window time.Duration
	now    func() time.Time

	mu        sync.Mutex
	byService map[string]*retry.ServiceBudget
}

func newBudgets(config Config, now func() time.Time) *budgets {
	return &budgets{ratio: config.BudgetRatio * ownShare, window: config.BudgetWindow, now: now, byService: make(map[string]*retry.ServiceBudget)}
}

// ownShare is the part of the allowed ratio that a node uses for its own repeats.
// The rest covers the calls that repeated requests make and the restart of nodes,
// which forget the repeats that they made.
const ownShare = 0.4

func (b *budgets) of(service string) *retry.ServiceBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewServiceBudget(b.now(), b.ratio, b.window)
		b.byService[service] = budget
	}
	return budget
}
