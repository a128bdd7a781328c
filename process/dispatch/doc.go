// Package dispatch decides for one shard which task runs on which worker. It does no
// input or output and reads no clock: the owner of the shard reports events to the
// engine, asks it for decisions and sends the resulting orders to the workers.
//
// # Usage
//
//	e := dispatch.New(dispatch.Config{Token: token})
//	e.SetPolicies(policies)
//	e.AddJob(now, record)
//	e.WorkerUp(now, worker, report)
//	for _, o := range e.Decide(now) {
//		e.OrderResult(now, o, send(o))
//	}
//	changes := e.TakeChanges(limit) // write them to the store, then:
//	e.Committed(now, changes, revision)
//
// Four rules prevent that a task runs twice or a worker is overcommitted:
//
//   - Resources stay reserved until the worker shows that a run is over.
//   - No task starts on a worker that lists a run of a job that is not known here, as the
//     need of that run is not known.
//   - A start without a reply is resolved by the worker's list of runs, or by a stop,
//     after which the agent refuses a late start.
//   - After a change of owner, a task that may still run on an unreachable worker is
//     not started elsewhere.
//
// Each kind of decision has a file of its own: the order of waiting steps (order.go),
// the share of large jobs (share.go), the stops for urgent jobs (preempt.go),
// the choice of a worker (place.go), the throttling of filler tasks (throttle.go), and the
// handling of faulty workers and stalled runs (health.go).
package dispatch
