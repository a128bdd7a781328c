// Package soak contains a test that runs real hosts as processes against a stand-in for
// the users' platform and injects faults from outside: kills, pauses, planned restarts,
// broken and slow connections, a store that rejects calls or drops responses, lost keys
// and change history, worker crashes, lapsed entries of living workers, reset calls to
// workers, workers that drain, work on and leave, and workers that start again under their names
// and carry out starts that their former incarnations received, or take starts whose leases end by
// the clocks of those. An audit checks the guarantees during the run, from the viewpoint of callers
// and workers. It is a test because the product's own programs must not start other processes.
//
// # Usage
//
//	go test ./experiment/soak -run Soak -args -soak-seed 7 -soak-duration 60s -soak-processes 12
//	go test ./experiment/soak -run ClockOfAFormerLife -parallel 3 -args -soak-seed 7 -soak-all-plays
//
// With -soak-no-start, workers do not state when they started.
//
// Faults overlap and come in series with one of each kind in random order. A seed determines
// the random choices of jobs and faults, but not the timing of the processes, so a failure may
// not reproduce with its seed. The hosts listen on fixed ports of a loopback network that the
// run reserves, so runs may be concurrent, also with one seed, if each has a directory of its
// own.
package soak
