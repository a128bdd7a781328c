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

// Site describes a customer's site and the load of its day.
type Site struct {
	Name string
	// Folder is the folder of the declarations in package sites.
	Folder string
	// Fleet describes the workers.
	Fleet standin.FleetConfig
	// EntryHosts is the number of entry hosts.
	EntryHosts int
	// Ordinary and Peak are the presets between which the operators switch.
	Ordinary, Peak heatherhub.PresetID
	// Work is the time that one request takes on an idle worker, by service.
	Work map[heatherhub.WorkloadID]time.Duration
	// Rates is the number of requests per second at the busiest hour, by service.
	Rates map[heatherhub.WorkloadID]float64
	// Jobs are the batch jobs that are added during the day.
	Jobs         []JobPlan
	Interference model.Interference
}

// JobPlan is the number of jobs of a batch workload in a day.
type JobPlan struct {
	Workload heatherhub.WorkloadID
	Jobs     int
	// Tasks is the number of tasks of each job.
	Tasks int
}

// Sites returns the sites that the demo knows.
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

// layout returns the shards of the site's failure domains.
func (s *Site) layout() shard.Layout {
	shards := make(map[heatherhub.FailureDomain]int, len(s.Fleet.Domains))
	for _, d := range s.Fleet.Domains {
		shards[d] = shardsPerDomain
	}
	return shard.Layout{Shards: shards}
}

// snapshot reads the site's declarations and divides the run times of batch tasks by
// speed.
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
