package layout_test

import (
	"fmt"
	"testing"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/shard/layout"
)

// hosts returns the ids of n hosts.
func hosts(n int) []heatherhub.HostID {
	ids := make([]heatherhub.HostID, n)
	for i := range ids {
		ids[i] = heatherhub.HostID(fmt.Sprintf("e%d", i))
	}
	return ids
}

// TestJoinMovesFewShards guards against a joining host that moves more than twice its
// even share of shards, and against a host that owns more than 1.25 even shares.
func TestJoinMovesFewShards(t *testing.T) {
	const shards = 240
	l := layout.Layout{Shards: map[heatherhub.FailureDomain]int{"gent": shards}}
	for n := 2; n <= 12; n++ {
		before := l.PreferredOwners("gent", hosts(n))
		after := l.PreferredOwners("gent", hosts(n+1))
		moved := 0
		load := make(map[heatherhub.HostID]int)
		for i := range before {
			load[before[i]]++
			if before[i] != after[i] {
				moved++
			}
		}
		if got, most := moved, 2*shards/(n+1); got > most {
			t.Errorf("a host that joins %d others moves %d shards, want at most %d", n, got, most)
		}
		for h, got := range load {
			if most := shards*5/(4*n) + 1; got > most {
				t.Errorf("%s of %d hosts owns %d shards, want at most %d", h, n, got, most)
			}
		}
	}
}

// TestReplicasAddUpToPreset guards against replicas that are lost or doubled when they
// are divided among shards, and against replicas in a drained failure domain.
func TestReplicasAddUpToPreset(t *testing.T) {
	l := layout.Layout{Shards: map[heatherhub.FailureDomain]int{"gent": 4, "leuven": 3, "mechelen": 2}}
	for _, drained := range [][]heatherhub.FailureDomain{nil, {"gent"}, {"gent", "leuven"}} {
		for replicas := range 40 {
			s := &heatherhub.Snapshot{InForce: "p", Presets: []heatherhub.Preset{{
				ID: "p", DrainDomains: drained, Services: []heatherhub.ServiceSetting{{Workload: "compile", Replicas: replicas}},
			}}}
			sum, least, most := 0, replicas, 0
			for _, shard := range l.All() {
				n := layout.ReplicasFor(s, l, shard, "compile")
				sum += n
				if len(drained) > 0 && shard.Domain == "gent" {
					if n != 0 {
						t.Errorf("drained shard %s gets %d replicas, want 0", shard, n)
					}
					continue
				}
				if shard.Domain == "mechelen" {
					least, most = min(least, n), max(most, n)
				}
			}
			if sum != replicas {
				t.Errorf("drained %v: the shards have %d replicas, want %d", drained, sum, replicas)
			}
			if most-least > 1 {
				t.Errorf("drained %v: the shards of mechelen differ by %d replicas, want at most 1", drained, most-least)
			}
		}
	}
}

// TestShardsOfWorkersAndJobs guards against workers in a shard of another failure
// domain and against an uneven distribution of jobs.
func TestShardsOfWorkersAndJobs(t *testing.T) {
	l := layout.Layout{Shards: map[heatherhub.FailureDomain]int{"gent": 4, "leuven": 4}}
	count := make(map[heatherhub.ShardID]int)
	for i := range 4000 {
		id := heatherhub.WorkerID(fmt.Sprintf("w%d", i))
		if got, want := l.ShardOfWorker("leuven", id).Domain, heatherhub.FailureDomain("leuven"); got != want {
			t.Fatalf("worker %s: got domain %s, want %s", id, got, want)
		}
		count[l.ShardOfJob(heatherhub.JobID(id))]++
	}
	for _, s := range l.All() {
		if got := count[s]; got < 350 || got > 650 {
			t.Errorf("shard %s has %d of 4000 jobs, want about 500", s, got)
		}
	}
	if got, want := l.ShardOfWorker("brugge", "w1"), (heatherhub.ShardID{}); got != want {
		t.Errorf("worker of an unknown domain: got %v, want %v", got, want)
	}
}
