package core_test

import (
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
)

// TestTickGroups checks that each active shard is in exactly one group and that only a
// shard with queued tasks has a group of its own.
func TestTickGroups(t *testing.T) {
	cfg := defaultSim(1)
	// No replicas: some shards have no workers, so theirs would stay queued.
	cfg.serviceReplicas = 0
	cfg.withoutOperators, cfg.shards, cfg.scheduler = true, 12, newFirstFit(0)
	sim := newSimulation(cfg)
	sim.run(20 * time.Second)
	for _, h := range sim.hosts {
		got := h.node.TickGroups()
		if want := min(1, len(h.node.Active())); len(got) != want {
			t.Errorf("host %s: got %d groups without queued tasks, want %d", h.id, len(got), want)
		}
	}
	job := heatherhub.JobID("more-than-fits")
	if err := sim.addJobAtOwner(t, job, 100); err != nil {
		t.Fatal(err)
	}
	sim.run(5 * time.Second)
	s := sim.layout.ShardOfJob(job)
	owner := sim.ownerOf(t, s).node
	if n := len(owner.Active()); n < 2 {
		t.Fatalf("the owner of %s has %d shards, want at least 2", s, n)
	}
	groups := owner.TickGroups()
	if !slices.ContainsFunc(groups, func(g []heatherhub.ShardID) bool { return slices.Equal(g, []heatherhub.ShardID{s}) }) {
		t.Errorf("got groups %v, want one with %s alone", groups, s)
	}
	for _, h := range sim.hosts {
		got := slices.Concat(h.node.TickGroups()...)
		slices.SortFunc(got, heatherhub.ShardID.Compare)
		if want := h.node.Active(); !slices.Equal(got, want) {
			t.Errorf("host %s: got shards %v in groups, want %v", h.id, got, want)
		}
	}
}
