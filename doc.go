// Package heatherhub defines the domain types of the scheduler: identifiers,
// units, workloads, teams, presets, jobs, workflows and the typed errors that
// every other package shares. It uses no network, clock or store, so the decision
// code, the adapters and the tests can all import it.
//
// # Usage
//
// A configuration is one versioned Snapshot in which exactly one preset is in force:
//
//	var s heatherhub.Snapshot
//	if err := heatherhub.Unmarshal(value, &s); err != nil {
//		return err // decoding also validates the snapshot
//	}
//	preset := s.PresetInForce()
//	replicas := preset.Replicas("compile")
//
// The type of an amount carries its unit, so the compiler rejects adding
// processor time to memory:
//
//	free := worker.Capacity.Sub(reserved)
//	if !task.Size.Fits(free) {
//		return heatherhub.ErrNotRun.New("worker is full, retry after %s", wait)
//	}
//
// Errors carry a Code, which the peer protocol and HTTP transmit. The codes
// distinguish three outcomes: answered, certainly not run, and unknown.
package heatherhub
