package scenario_test

import (
	"flag"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/process/scenario"
)

var measure = flag.Bool("measure", false, "measure control traffic and the propagation time of configurations")

// maxPropagation is the time within which the users require a configuration change
// to be in force on every entry host.
const maxPropagation = 9 * time.Second

// TestMeasure logs the control traffic of an idle site and the propagation time of
// preset switches, on virtual time. Without -measure it runs only the smallest size.
func TestMeasure(t *testing.T) {
	sizes := []size{{domains: 3, hosts: 9}}
	if *measure {
		sizes = append(sizes, size{3, 27}, size{11, 33}, size{11, 99})
	}
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) { measureHosts(t, n.domains, n.hosts) })
	}
}

// size is the number of failure domains and of entry hosts over all of them.
type size struct{ domains, hosts int }

func measureHosts(t *testing.T, domains, hosts int) {
	const period = 30 * time.Second
	s := &script{t: t}
	defer s.close()
	if err := s.start(map[string]string{"workers": strconv.Itoa(8 * domains), "domains": strconv.Itoa(domains)}, hosts); err != nil {
		t.Fatal(err)
	}
	if _, err := s.settled([]string{"within=120s"}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(period)
	before := s.cluster.Traffic()
	time.Sleep(period)
	after := s.cluster.Traffic()
	seconds := period.Seconds()
	t.Logf("%d domains, %d hosts idle: peers %.0f bytes/s each, store reads %.1f/s writes %.1f/s", domains, hosts,
		float64(after.PeerBytes-before.PeerBytes)/seconds/float64(hosts),
		float64(reads(after.Store)-reads(before.Store))/seconds,
		float64(writes(after.Store)-writes(before.Store))/seconds)
	times := measurePropagation(t, s.cluster)
	t.Logf("%d hosts: in force everywhere after %s (median), %s (longest) of %d switches", hosts,
		times[len(times)/2], times[len(times)-1], len(times))
	if got := times[len(times)-1]; got > maxPropagation {
		t.Errorf("%d hosts: got a switch in force everywhere after %s, want at most %s", hosts, got, maxPropagation)
	}
}

// reads returns the number of calls that count against the read limit.
func reads(c memory.Counts) int {
	return c.Gets + c.Lists + c.Watches
}

// writes returns the number of calls that count against the write limit.
func writes(c memory.Counts) int {
	return c.Writes + c.Grants + c.Renews + c.Revokes
}

// measurePropagation switches presets and returns the sorted times until each switch
// was in force on every host.
func measurePropagation(t *testing.T, cluster *scenario.Cluster) []time.Duration {
	t.Helper()
	const switches = 20
	var times []time.Duration
	s := &script{t: t, cluster: cluster}
	for n := range switches {
		id := []heatherhub.PresetID{"peak", "ordinary"}[n%2]
		if _, err := s.preset([]string{string(id)}); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		for {
			oldest, newest := cluster.Versions()
			if oldest == newest {
				break
			}
			time.Sleep(time.Millisecond)
		}
		times = append(times, time.Since(start))
		time.Sleep(time.Second)
	}
	slices.Sort(times)
	return times
}
