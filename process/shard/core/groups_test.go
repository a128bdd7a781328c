package core_test

import (
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
)

// TestGroups compares the groups of every host with its shards: each shard is in
// one group, and only a shard with queued tasks has a group of its own.
func TestGroups(t *testing.T) {
	cfg := defaultSim(1)
	// Some shards have no workers, so replicas could stay queued there.
	cfg.serviceCopies = 0
	cfg.withoutOps, cfg.shards, cfg.scheduler = true, 12, newFirstFit(0)
	w := newSimulation(cfg)
	w.run(20 * time.Second)
	for _, h := range w.hosts {
		got := h.node.TickGroups()
		if want := min(1, len(h.node.Active())); len(got) != want {
			t.Errorf("host %s: got %d groups without queued tasks, want %d", h.id, len(got), want)
		}
	}
	job := heatherhub.JobID("more-than-fits")
	if err := w.addJobAtOwner(t, job, 100); err != nil {
		t.Fatal(err)
	}
	w.run(5 * time.Second)
	s := w.layout.OfJob(job)
	owner := w.ownerOf(t, s).node
	if n := len(owner.Active()); n < 2 {
		t.Fatalf("the owner of %s has %d shards, want several", s, n)
	}
	groups := owner.TickGroups()
	if !slices.ContainsFunc(groups, func(g []heatherhub.ShardID) bool { return slices.Equal(g, []heatherhub.ShardID{s}) }) {
		t.Errorf("got groups %v, want one with %s alone", groups, s)
	}
	for _, h := range w.hosts {
		got := slices.Concat(h.node.TickGroups()...)
		slices.SortFunc(got, heatherhub.ShardID.Compare)
		if want := h.node.Active(); !slices.Equal(got, want) {
			t.Errorf("host %s: got shards %v in groups, want %v", h.id, got, want)
		}
	}
}
