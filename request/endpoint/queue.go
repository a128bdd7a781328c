package endpoint

// waiter is a ticket in the queue.
type waiter struct {
	ticket  Ticket
	removed bool
}

// callerQueue is the queue of one caller, the oldest first.
type callerQueue struct {
	caller  string
	waiters []*waiter
	size    int
}

// fairQueue serves callers in turn, and each caller's requests in order.
type fairQueue struct {
	callers map[string]*callerQueue
	// rotation holds the callers with waiting requests; the first is next.
	rotation []*callerQueue
	size     int
}

func newFairQueue() *fairQueue {
	return &fairQueue{callers: make(map[string]*callerQueue)}
}

func (q *fairQueue) push(w *waiter) {
	l := q.callers[w.ticket.Caller]
	if l == nil {
		l = &callerQueue{caller: w.ticket.Caller}
		q.callers[l.caller] = l
		q.rotation = append(q.rotation, l)
	}
	l.waiters = append(l.waiters, w)
	l.size++
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

// peek returns the waiter whose turn it is, or nil.
func (q *fairQueue) peek() *waiter {
	for len(q.rotation) > 0 {
		l := q.rotation[0]
		for len(l.waiters) > 0 && l.waiters[0].removed {
			l.waiters = l.waiters[1:]
		}
		if len(l.waiters) > 0 {
			return l.waiters[0]
		}
		q.rotation = q.rotation[1:]
		delete(q.callers, l.caller)
	}
	return nil
}

// pop removes the waiter whose turn it is and passes the turn on.
func (q *fairQueue) pop() *waiter {
	w := q.peek()
	if w == nil {
		return nil
	}
	l := q.rotation[0]
	q.remove(w)
	l.waiters = l.waiters[1:]
	q.rotation = append(q.rotation[1:], l)
	return w
}

// countAhead is the number of waiters served before a new one of a caller.
func (q *fairQueue) countAhead(caller string) int {
	own := 0
	if l := q.callers[caller]; l != nil {
		own = l.size
	}
	n := own
	for _, l := range q.rotation {
		if l.caller != caller {
			n += min(l.size, own+1)
		}
	}
	return n
}

// longest returns the caller with most waiters.
func (q *fairQueue) longest() *callerQueue {
	var best *callerQueue
	for _, l := range q.rotation {
		if best == nil || l.size > best.size {
			best = l
		}
	}
	return best
}

// newest returns a line's last waiter, or nil.
func (l *callerQueue) newest() *waiter {
	for i := len(l.waiters) - 1; i >= 0; i-- {
		if !l.waiters[i].removed {
			return l.waiters[i]
		}
	}
	return nil
}
