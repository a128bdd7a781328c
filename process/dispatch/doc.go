// Package dispatch decides for one shard which task runs on which worker. It is
// pure: it does no input or output and reads no clock. The owner of the shard
// tells it what happened, asks it to decide, and carries out the orders.
//
// # Usage
//
//	e := dispatch.New(dispatch.Config{Token: token})
//	e.SetPolicies(policies)
//	e.AddJob(now, flow, progress)
//	e.WorkerUp(now, worker, report)
//	for _, o := range e.Decide(now) {
//		send(o) // and tell e.OrderResult(now, o, outcome)
//	}
//	batch := e.TakeChanges(max) // make them durable, then e.Committed(batch)
//
// Three things keep a task from running twice and a worker from being given too
// much. Room stays reserved until a worker proves that a run is over. A start
// without an answer is settled by the worker's list of runs or by a stop, which
// also refuses a late start. After a change of owner nothing that may still run
// on a worker out of reach is started elsewhere.
//
// Each decision has a file of its own: the order of waiting steps (order.go), the
// choice of a worker (place.go), the speed of filler tasks (pace.go) and the
// watch over workers that fail or stand still (health.go).
package dispatch
