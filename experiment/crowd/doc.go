// Package crowd contains tests that start a real host as a process against a stand-in for
// the users' platform and connect crowds of clients to its ports that send much and stop
// short of the end. They check what does not depend on the speed of the machine: that the
// process lives, that its peak memory and its open descriptors stay within the limits of its
// settings, and that an ordinary request is answered beside the crowd and after it.
//
// # Usage
//
//	go test ./experiment/crowd -v -args -crowd-binary FILE
//
// The host listens on fixed ports of a loopback address that the run reserves. The limits in
// the settings are low, so that a small crowd exceeds them. No test is parallel with another.
package crowd
