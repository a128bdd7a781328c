package soak_test

import (
	"net"
	"testing"
)

// TestRunsWithOneSeedDoNotShareAddresses guards against concurrent runs with one seed whose
// hosts end because the hosts of the other run listen on their addresses.
func TestRunsWithOneSeedDoNotShareAddresses(t *testing.T) {
	o := &options{Seed: 1, Processes: 4}
	a, b := newSite(o), newSite(o)
	defer a.close(t.Context())
	defer b.close(t.Context())
	for _, s := range []*site{a, b} {
		if err := s.reserveNetwork(); err != nil {
			t.Fatal(err)
		}
	}
	if a.network == b.network {
		t.Errorf("got the network %s for two runs at once, want two networks", a.network)
	}
	if err := a.checkHostAddresses(a.network); err != nil {
		t.Errorf("got %v without hosts in the network, want no error", err)
	}
	l, err := net.Listen("tcp4", net.JoinHostPort(hostIP(a.network, o.Processes-1), frontPort))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if a.checkHostAddresses(a.network) == nil {
		t.Error("got no error with a host of a killed run in the network, want one")
	}
}
