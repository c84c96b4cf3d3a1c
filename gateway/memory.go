package gateway

import (
	"fmt"

	"github.com/wigeonlock/wigeonlock/bytebudget"
	"github.com/wigeonlock/wigeonlock/frontend"
)

const (
	// _budgetShare is the part of the memory of the process that it may hold for others. The
	// rest is for its own state, and for what the collector has not yet freed.
	_budgetShare = 0.5
	// _bodiesShare is the part of the budget that large bodies of requests may take, _answersShare
	// that of large answers: neither keeps out the other. _connectionsShare bounds the number
	// of connections.
	_bodiesShare      = 0.8
	_answersShare     = 0.8
	_connectionsShare = 0.5
	// _freeBytes is the size of a body that a connection is counted with.
	_freeBytes = 4 << 10
	// _smallBytes is the size of a small body, _smallShare the part of the budget that is kept
	// for small ones.
	_smallBytes = 64 << 10
	_smallShare = 0.1
)

// newMemory returns the budget of a process with an amount of memory.
func newMemory(memoryMb int) *bytebudget.Budget {
	return bytebudget.New(int64(float64(memoryMb)*_budgetShare*(1<<20)), bytebudget.Shares{
		Most: map[bytebudget.Use]float64{
			bytebudget.Requests: _bodiesShare, bytebudget.Answers: _answersShare, bytebudget.Connections: _connectionsShare,
		},
		Free: _freeBytes, Small: _smallBytes, Reserve: _smallShare,
	})
}

// maxCallers returns the number of connections of callers for which there is memory.
func maxCallers(memory *bytebudget.Budget) int {
	return int(memory.State(bytebudget.Connections).Most / frontend.ConnectionBytes)
}

// memoryGauges returns the metrics of a budget.
func memoryGauges(memory *bytebudget.Budget) map[string]float64 {
	gauges := map[string]float64{"wigeonlock_memory_total_limit_bytes": float64(memory.Limit())}
	for _, use := range bytebudget.Uses() {
		state := memory.State(use)
		gauges[fmt.Sprintf("wigeonlock_memory_bytes{use=%q}", use)] = float64(state.Held)
		gauges[fmt.Sprintf("wigeonlock_memory_peak_bytes{use=%q}", use)] = float64(state.Peak)
		gauges[fmt.Sprintf("wigeonlock_memory_limit_bytes{use=%q}", use)] = float64(state.Most)
	}
	return gauges
}
