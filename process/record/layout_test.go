package record_test

import (
	"fmt"
	"testing"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/agent"
	"heatherhub.example/heatherhub/process/record"
)

// fleet returns workers in five failure domains, in racks of four.
func fleet(perDomain int) []agent.Worker {
	var out []agent.Worker
	for d := range 5 {
		for i := range perDomain {
			out = append(out, agent.Worker{
				ID: heatherhub.WorkerID(fmt.Sprintf("w%d-%d", d, i)), Domain: domain(d), Rack: heatherhub.Rack(fmt.Sprintf("r%d-%d", d, i/4)),
				Capacity: heatherhub.Resources{CPU: 32_000, Memory: 1000},
			})
		}
	}
	return out
}

func domain(d int) heatherhub.FailureDomain {
	return heatherhub.FailureDomain(fmt.Sprintf("d%d", d))
}

// hosts returns, in each of five failure domains, a host for each given capacity.
func hosts(capacities ...int) []record.Host {
	var out []record.Host
	for d := range 5 {
		for _, n := range capacities {
			out = append(out, record.Host{Domain: domain(d), Workers: n})
		}
	}
	return out
}

// TestLayoutFollowsTheStrengthOfTheHosts plans fleets whose hosts are too weak for one large
// shard.
func TestLayoutFollowsTheStrengthOfTheHosts(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		hosts   []record.Host
		want    int
	}{
		{"strong hosts, few workers", 10, hosts(160, 160), 1},
		{"unknown hosts, few workers", 10, nil, 1},
		{"weak hosts, few workers", 24, hosts(27, 27, 27, 27), 5},
		{"weaker hosts, few workers", 24, hosts(13, 13, 13, 13), 10},
		{"one strong host", 24, append(hosts(27, 27, 27), record.Host{Domain: domain(0), Workers: 320}), 5},
		{"two strong hosts", 24, append(hosts(27, 27, 27), record.Host{Domain: domain(0), Workers: 320}, record.Host{Domain: domain(1), Workers: 320}), 1},
		{"some strong hosts in each domain", 220, hosts(320, 320, 320, 44, 44, 44, 44), 10},
		{"two strong hosts in each domain", 163, hosts(320, 320, 76, 76, 76, 76), 10},
		{"only weak hosts, many workers", 220, hosts(44, 44, 44, 44, 44, 44, 44), 25},
		{"no host can carry its share", 220, hosts(1, 1, 1), 15},
		{"unknown hosts, many workers", 220, nil, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := record.PlanLayout(record.LayoutConfig{Workers: fleet(tt.workers), Hosts: tt.hosts, MaxWorkers: 120})
			if got := len(l.Shards); got != tt.want {
				t.Errorf("got %d shards, want %d", got, tt.want)
			}
			total := 0
			for _, s := range l.Shards {
				total += l.WorkersOf(s.Shard)
			}
			if want := 5 * tt.workers; total != want {
				t.Errorf("got %d workers in all shards, want %d", total, want)
			}
		})
	}
}

// TestShardsOfADomainAreEqual plans a fleet with a few racks for each shard: a shard of a third
// of the size has no room for wide jobs, and its work moves around.
func TestShardsOfADomainAreEqual(t *testing.T) {
	workers := fleet(164)
	l := record.PlanLayout(record.LayoutConfig{Workers: workers, Hosts: hosts(320, 320, 76, 76), MaxWorkers: 60})
	if got, want := len(l.Shards), 15; got != want {
		t.Fatalf("got %d shards, want %d", got, want)
	}
	for _, s := range l.Shards {
		if s.Workers < 52 || s.Workers > 56 {
			t.Errorf("got %d workers in shard %s, want 52 to 56", s.Workers, s.Shard)
		}
	}
	w := workers[0]
	same := l.ShardOf(&w)
	w.ID = "later"
	if got := l.ShardOf(&w); got != same {
		t.Errorf("got shard %s for another worker of the rack, want %s", got, same)
	}
	w.Rack = "unknown"
	if got := l.ShardOf(&w); got.Domain != w.Domain {
		t.Errorf("got shard %s for a new rack, want one of domain %s", got, w.Domain)
	}
}
