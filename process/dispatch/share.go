package dispatch

import (
	"slices"
	"time"

	"heatherhub.example/heatherhub"
)

// Shares by size answer an overload of many small jobs beside few wide ones. Least remaining work
// first serves the most jobs, and starves the largest ones of each queue until they are late. So a
// queue keeps account of how its jobs were served by size. While one of the two upper classes was
// served less than classShare times as well as the whole queue, one of its jobs goes ahead of all
// others of its priority until it is done or late: a wide job that got only part of its room would
// waste it. Queues that are not short of room have no class that is served less, and keep the
// order of order.go.

// sizeClass is the class of a job by its work among the recent jobs of its queue.
type sizeClass int

const (
	// regularSize is the class of the smaller seven tenths.
	regularSize sizeClass = iota
	// largeSize is the class of the fifth below the largest tenth.
	largeSize
	// largestSize is the class of the largest tenth.
	largestSize
	sizeClasses
)

const (
	// largeRank and largestRank are the ranks among the queue's jobs at which the classes begin.
	largeRank   = 0.7
	largestRank = 0.9
	// minSizes is the number of jobs below which a queue's sizes say nothing of a rank, and
	// maxSizes the number that a queue remembers: 25 of its largest tenth.
	minSizes = 20
	maxSizes = 256
	// classShare is the share of the whole queue's service at which a class goes ahead. Callers
	// need half; the rest covers that an outcome is known only when a job ends.
	classShare = 0.6
	// aheadWeight is how much of a job that goes ahead counts as served: in the replays of
	// share_test.go about half of them were in time.
	aheadWeight = 0.5
	// outcomeDecay is the weight that an outcome keeps with each later one of its queue, so that
	// about the last 250 count.
	outcomeDecay = 1 - 1.0/250
	// priorOutcomes is the number of jobs of each class that count as served at first.
	priorOutcomes = 1
)

// outcomes is the decayed number of jobs and of those that ended in time.
type outcomes struct {
	count, inTime float64
}

// queueShares is the account of one queue in this shard.
type queueShares struct {
	// recent has the sizes of the last jobs as a ring, sorted has the same by size.
	recent []float64
	next   int
	sorted []float64
	served [sizeClasses]outcomes
	// ahead counts the jobs that go ahead and whose outcome is open.
	ahead [sizeClasses]int
	// contenders are the jobs that may go ahead at this decision.
	contenders [sizeClasses]contender
	isListed   bool
}

// contender is a job that may go ahead, and its first waiting step.
type contender struct {
	job  *job
	work float64
}

func newQueueShares() *queueShares {
	q := &queueShares{}
	for i := range q.served {
		q.served[i] = outcomes{count: priorOutcomes, inTime: priorOutcomes}
	}
	return q
}

// classify returns the class of a job of the given size and remembers the size.
func (q *queueShares) classify(size float64) sizeClass {
	class := regularSize
	if n := len(q.sorted); n >= minSizes {
		below, _ := slices.BinarySearch(q.sorted, size)
		equal, _ := slices.BinarySearchFunc(q.sorted[below:], size, func(v, size float64) int {
			if v > size {
				return 1
			}
			return -1
		})
		// The middle rank of equal sizes: a queue of equal jobs has none that is large.
		switch rank := (float64(below) + float64(equal)/2) / float64(n); {
		case rank >= largestRank:
			class = largestSize
		case rank >= largeRank:
			class = largeSize
		}
	}
	q.remember(size)
	return class
}

func (q *queueShares) remember(size float64) {
	if len(q.recent) < maxSizes {
		q.recent = append(q.recent, size)
	} else {
		at, _ := slices.BinarySearch(q.sorted, q.recent[q.next])
		q.sorted = slices.Delete(q.sorted, at, at+1)
		q.recent[q.next] = size
		q.next = (q.next + 1) % maxSizes
	}
	at, _ := slices.BinarySearch(q.sorted, size)
	q.sorted = slices.Insert(q.sorted, at, size)
}

// count adds the outcome of a job.
func (q *queueShares) count(class sizeClass, isInTime bool) {
	for i := range q.served {
		q.served[i].count *= outcomeDecay
		q.served[i].inTime *= outcomeDecay
	}
	q.served[class].count++
	if isInTime {
		q.served[class].inTime++
	}
}

// isBehind reports whether a class was served less than classShare times as well as its queue.
// Jobs that go ahead count in part, as their outcome is open.
func (q *queueShares) isBehind(class sizeClass) bool {
	var all outcomes
	for _, v := range q.served {
		all.count += v.count
		all.inTime += v.inTime
	}
	ahead := float64(q.ahead[class])
	v := q.served[class]
	return (v.inTime+aheadWeight*ahead)*all.count < classShare*all.inTime*(v.count+ahead)
}

// sharesOf returns the account of a queue.
func (e *Engine) sharesOf(id heatherhub.QueueID) *queueShares {
	q := e.shares[id]
	if q == nil {
		q = newQueueShares()
		e.shares[id] = q
	}
	return q
}

// hasShare reports whether the outcome of a job counts for its queue. Scheduled and long-running
// jobs are left out, and jobs of which this shard runs only some tasks.
func (j *job) hasShare() bool {
	return j.workflow.Schedule == nil && !j.isOwnedElsewhere && !j.isCounted &&
		!slices.ContainsFunc(j.workflow.Steps, func(s heatherhub.Step) bool { return s.LongRunning })
}

// addToShares puts a new job into a size class of its queue.
func (e *Engine) addToShares(j *job) {
	if len(j.occurrences) != 1 || !j.hasShare() {
		j.isCounted = true
		return
	}
	size := 0.0
	for i := range j.workflow.Steps {
		s := &j.workflow.Steps[i]
		size += float64(s.Tasks) * s.Estimate.Seconds() * float64(s.Need.CPU)
	}
	j.shares = e.sharesOf(j.workflow.Queue)
	j.size = j.shares.classify(size)
}

// countOutcome counts whether a job was in time, once for each job.
func (j *job) countOutcome(isInTime bool) {
	if j.isCounted {
		return
	}
	j.leaveShares()
	j.shares.count(j.size, isInTime)
}

// leaveShares ends the part that a job has in its queue's account.
func (j *job) leaveShares() {
	j.isCounted = true
	if j.isAhead {
		j.isAhead = false
		j.shares.ahead[j.size]--
	}
}

// countEnd counts the outcome of a job that has reached a final state.
func (j *job) countEnd(now time.Duration) {
	switch {
	case j.isCounted:
	case j.state == heatherhub.WorkflowCompleted:
		j.countOutcome(now <= j.occurrences[0].objective)
	default:
		j.leaveShares()
	}
}

// chooseAhead marks the candidates whose jobs go ahead. Of each class that is behind, the job
// with the least remaining work is added.
func (e *Engine) chooseAhead(now time.Duration, waiting []candidate) {
	listed := e.listedShares[:0]
	for i := range waiting {
		c := &waiting[i]
		j := c.step.occ.job
		if j.isCounted {
			continue
		}
		if c.urgency != inTime {
			j.countOutcome(false)
			continue
		}
		if j.size == regularSize || j.isAhead {
			continue
		}
		q := j.shares
		if !q.isListed {
			q.isListed = true
			listed = append(listed, q)
		}
		if best := &q.contenders[j.size]; best.job == nil || c.remainingWork < best.work {
			*best = contender{job: j, work: c.remainingWork}
		}
	}
	for _, q := range listed {
		for class := range q.contenders {
			if j := q.contenders[class].job; j != nil && q.isBehind(sizeClass(class)) {
				j.isAhead = true
				q.ahead[class]++
				e.Stats.Ahead++
				e.recordEvent(EventRecord{Event: EventJobAhead, Job: j.workflow.ID, Reason: sizeClass(class).String(), Count: 1, Slack: j.occurrences[0].objective - now})
			}
		}
		q.contenders, q.isListed = [sizeClasses]contender{}, false
	}
	clear(listed)
	e.listedShares = listed[:0]
}

// String names the class for logs.
func (c sizeClass) String() string {
	return [...]string{"regular", "large", "largest"}[c]
}
