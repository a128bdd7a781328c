//go:build review

// Command scene plays one case of a review against real processes on loopback addresses. It serves a
// store and workers, acts as client, and records what it sends and receives. The script of the case
// starts the hosts of the system with the settings that scene writes.
//
// # Usage
//
//	scene -case starved-gang -trouble=true -dir FOLDER -record record.txt
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main
