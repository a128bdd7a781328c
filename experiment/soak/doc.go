// Package soak has a test that runs real hosts as processes on a stand-in of the users'
// platform and injects faults from outside them: kills, pauses, planned restarts, cut
// and slow connections, a store that refuses or answers nothing, lost keys and history,
// workers that crash. The promises are checked while it runs, from what callers and
// workers see. It is a test, since no program of the product starts another.
//
// # Usage
//
//	go test ./experiment/soak -run Soak -args -soak-seed 7 -soak-duration 60s -soak-processes 12
//
// A seed fixes the jobs and the faults, not the order in which the processes run.
package soak
