package dispatch

// Starts are held back for bursts and takeovers, when far more tasks may start at once than
// the owner's host can send orders in time. Orders that grow old in a queue are dropped, and
// until then reserve room and delay the stops and polls behind them. With a bound on the
// orders without an outcome, tasks wait where a later decision can still put more urgent
// ones before them.

// isAtStartLimit reports whether as many starts as allowed have no outcome yet.
func (e *Engine) isAtStartLimit() bool {
	return e.cfg.MaxPendingStarts > 0 && e.pendingStarts >= e.cfg.MaxPendingStarts
}

// HasHeldStarts reports whether the last decision held starts back and half of the allowed
// ones have an outcome since, so that it is time to decide again.
func (e *Engine) HasHeldStarts() bool {
	return e.isHoldingStarts && 2*e.pendingStarts <= e.cfg.MaxPendingStarts
}
