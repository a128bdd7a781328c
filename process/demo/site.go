package demo

import (
	"io/fs"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/shard"
	"heatherhub.example/heatherhub/process/standin"
	"heatherhub.example/heatherhub/process/standin/model"
	"heatherhub.example/heatherhub/sites"
	"heatherhub.example/heatherhub/version/declaration"
)

// shardsPerDomain is the number of shards in each failure domain of a site.
const shardsPerDomain = 2

// Site describes one customer's site.
type Site struct {
	Name string
	// Folder is the folder of its declarations in package sites.
	Folder string
	Fleet  standin.FleetConfig
	// EntryHosts is the number of entry hosts.
	EntryHosts int
	// Ordinary and Peak are the presets of the day.
	Ordinary, Peak heatherhub.PresetID
	// Work is the work of one request by service.
	Work map[heatherhub.WorkloadID]time.Duration
	// Rates are requests in a second at the busiest hour, by service.
	Rates map[heatherhub.WorkloadID]float64
	// Jobs are added in the course of the day.
	Jobs         []JobPlan
	Interference model.Interference
}

// JobPlan is a batch workload with the number of its jobs in a day.
type JobPlan struct {
	Workload heatherhub.WorkloadID
	Jobs     int
	Tasks    int
}

// Sites returns both sites of today.
func Sites() []Site {
	return []Site{vanRoosbroeck(), abaySkyclaim()}
}

func vanRoosbroeck() Site {
	return Site{
		Name: "vanroosbroeck", Folder: "vanroosbroeck", EntryHosts: 7,
		Ordinary: "ordinary", Peak: "peak",
		Fleet: standin.FleetConfig{
			Workers: 50, Domains: []heatherhub.FailureDomain{"mechelen", "leuven", "gent"},
			RackSize: 8, Slots: 8, Connections: 60,
			Capacity: heatherhub.Resources{CPU: 30_000, Memory: 125_000},
		},
		Work: map[heatherhub.WorkloadID]time.Duration{
			"compile": 60 * time.Millisecond, "simulation": 90 * time.Millisecond,
			"classroom-session": 8 * time.Millisecond, "firmware-push": 30 * time.Millisecond,
		},
		Rates: map[heatherhub.WorkloadID]float64{
			"compile": 40, "simulation": 20, "classroom-session": 60, "firmware-push": 6,
		},
		Jobs: []JobPlan{
			{"course-grading", 20, 6}, {"lesson-recordings", 8, 3}, {"firmware-release-test", 4, 4},
		},
		Interference: model.Interference{
			{Workload: "compile", Class: "compute"}: 0.6, {Workload: "compile", Class: "video"}: 0.9,
			{Workload: "simulation", Class: "video"}: 0.8,
		},
	}
}

func abaySkyclaim() Site {
	return Site{
		Name: "abayskyclaim", Folder: "abayskyclaim", EntryHosts: 8,
		Ordinary: "ordinary", Peak: "peak",
		Fleet: standin.FleetConfig{
			Workers: 70, Domains: []heatherhub.FailureDomain{"bole", "kazanchis", "piassa", "merkato"},
			RackSize: 8, Slots: 8, Connections: 60,
			Capacity: heatherhub.Resources{CPU: 16_000, Memory: 60_000},
		},
		Work: map[heatherhub.WorkloadID]time.Duration{
			"claims-check": 70 * time.Millisecond, "flight-records": 15 * time.Millisecond,
			"airline-demand": 40 * time.Millisecond,
		},
		Rates: map[heatherhub.WorkloadID]float64{
			"claims-check": 40, "flight-records": 30, "airline-demand": 6,
		},
		Jobs: []JobPlan{
			{"compensation-letters", 30, 8}, {"reply-watchers", 6, 4}, {"rules-backtest", 6, 2},
		},
		Interference: model.Interference{
			{Workload: "claims-check", Class: "scan"}: 0.9, {Workload: "claims-check", Class: "render"}: 0.4,
			{Workload: "flight-records", Class: "scan"}: 0.7,
		},
	}
}

// layout divides the failure domains of the site into shards.
func (s *Site) layout() shard.Layout {
	shards := make(map[heatherhub.FailureDomain]int, len(s.Fleet.Domains))
	for _, d := range s.Fleet.Domains {
		shards[d] = shardsPerDomain
	}
	return shard.Layout{Shards: shards}
}

// snapshot reads the declarations and shortens the run times of batch tasks.
func (s *Site) snapshot(speed int) (*heatherhub.Snapshot, error) {
	dir, err := fs.Sub(sites.Files, s.Folder)
	if err != nil {
		return nil, err
	}
	set, err := declaration.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	snapshot := set.Snapshot()
	for i := range snapshot.Workloads {
		w := &snapshot.Workloads[i]
		if w.Kind == heatherhub.KindBatch {
			w.RunTime /= time.Duration(speed)
		}
	}
	return snapshot, nil
}
