package endpoint

// waiter is a queued ticket. A removed one stays in its callerQueue until it gets
// to the head.
type waiter struct {
	ticket  Ticket
	removed bool
}

// callerQueue holds the waiters of one caller, oldest first. Its size doesn't
// count removed waiters.
type callerQueue struct {
	caller  string
	waiters []*waiter
	size    int
}

// fairQueue serves callers round robin, and each caller's requests in FIFO order.
type fairQueue struct {
	callers map[string]*callerQueue
	// rotation holds the callers with queued requests in the order of service.
	rotation []*callerQueue
	size     int
}

func newFairQueue() *fairQueue {
	return &fairQueue{callers: make(map[string]*callerQueue)}
}

func (q *fairQueue) push(w *waiter) {
	c := q.callers[w.ticket.Caller]
	if c == nil {
		c = &callerQueue{caller: w.ticket.Caller}
		q.callers[c.caller] = c
		q.rotation = append(q.rotation, c)
	}
	c.waiters = append(c.waiters, w)
	c.size++
	q.size++
}

func (q *fairQueue) remove(w *waiter) {
	if w.removed {
		return
	}
	w.removed = true
	q.callers[w.ticket.Caller].size--
	q.size--
}

// peek returns the next waiter to serve, or nil.
func (q *fairQueue) peek() *waiter {
	for len(q.rotation) > 0 {
		c := q.rotation[0]
		for len(c.waiters) > 0 && c.waiters[0].removed {
			c.waiters = c.waiters[1:]
		}
		if len(c.waiters) > 0 {
			return c.waiters[0]
		}
		q.rotation = q.rotation[1:]
		delete(q.callers, c.caller)
	}
	return nil
}

// pop removes and returns the next waiter, or nil, and moves its caller to the end
// of the rotation.
func (q *fairQueue) pop() *waiter {
	w := q.peek()
	if w == nil {
		return nil
	}
	c := q.rotation[0]
	q.remove(w)
	c.waiters = c.waiters[1:]
	q.rotation = append(q.rotation[1:], c)
	return w
}

// countAhead returns how many waiters would be served before a new one of a
// caller.
func (q *fairQueue) countAhead(caller string) int {
	own := 0
	if c := q.callers[caller]; c != nil {
		own = c.size
	}
	n := own
	for _, c := range q.rotation {
		if c.caller != caller {
			n += min(c.size, own+1)
		}
	}
	return n
}

// longest returns the caller's queue with the most waiters, or nil.
func (q *fairQueue) longest() *callerQueue {
	var best *callerQueue
	for _, c := range q.rotation {
		if best == nil || c.size > best.size {
			best = c
		}
	}
	return best
}

// newest returns the waiter that was queued last, or nil.
func (c *callerQueue) newest() *waiter {
	for i := len(c.waiters) - 1; i >= 0; i-- {
		if !c.waiters[i].removed {
			return c.waiters[i]
		}
	}
	return nil
}
