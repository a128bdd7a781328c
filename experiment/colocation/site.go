package colocation

import (
	"fmt"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/process/standin/model"
)

const (
	workersPerRack    = 8
	workerSlots       = 8
	workerConnections = 60
	// runTimeDivisor and deadlineDivisor shorten the declared run times and deadlines of
	// batch tasks, so that a short run has many tasks and reaches their deadlines.
	runTimeDivisor  = 4
	deadlineDivisor = 48
)

// Traffic is the normal request load of a service.
type Traffic struct {
	Service heatherhub.WorkloadID
	// Rate is the mean number of requests per second at the whole site.
	Rate float64
	// Work is the median service time of a request on an idle worker.
	Work time.Duration
}

// BatchLoad is the offered load of a batch workload.
type BatchLoad struct {
	Workload heatherhub.WorkloadID
	// Tasks is the maximum number of tasks of a job.
	Tasks int
	// Share is the offered load relative to the batch capacity of the site under the
	// preset in force.
	Share float64
}

// Weights are the weights of the components of a site's score. They sum to 1.
type Weights struct {
	TailLatency, Throughput, Evictions float64
}

// Site describes the simulated workers and load of a customer's site.
type Site struct {
	Name     string
	Domains  []heatherhub.FailureDomain
	Workers  int
	Capacity heatherhub.Resources
	Traffic  []Traffic
	Batch    []BatchLoad
	// NoisyWorkload is the batch workload that slows the services most (see
	// Interference). It arrives at a higher rate in ScenarioNoisyWave.
	NoisyWorkload heatherhub.WorkloadID
	Interference  model.Interference
	Weights       Weights
}

// Sites returns both sites.
func Sites() []Site {
	return []Site{vanRoosbroeck(), abaySkyclaim()}
}

func vanRoosbroeck() Site {
	return Site{
		Name:     "vanroosbroeck",
		Domains:  []heatherhub.FailureDomain{"mechelen", "leuven", "gent"},
		Workers:  50,
		Capacity: heatherhub.Resources{CPU: 30_000, Memory: 125_000},
		Traffic: []Traffic{
			{"compile", 45, 130 * time.Millisecond},
			{"simulation", 20, 250 * time.Millisecond},
			{"classroom-session", 60, 50 * time.Millisecond},
			{"firmware-push", 8, 200 * time.Millisecond},
		},
		Batch: []BatchLoad{
			{"course-grading", 24, 0.5},
			{"lesson-recordings", 6, 0.5},
			{"firmware-release-test", 8, 0.05},
		},
		NoisyWorkload: "lesson-recordings",
		Interference: model.Interference{
			{Workload: "compile", Class: "compute"}:           0.4,
			{Workload: "compile", Class: "video"}:             2.0,
			{Workload: "simulation", Class: "compute"}:        1.2,
			{Workload: "simulation", Class: "video"}:          0.6,
			{Workload: "classroom-session", Class: "compute"}: 0.3,
			{Workload: "classroom-session", Class: "video"}:   3.0,
			{Workload: "firmware-push", Class: "video"}:       0.3,
		},
		Weights: Weights{TailLatency: 0.7, Throughput: 0.2, Evictions: 0.1},
	}
}

func abaySkyclaim() Site {
	return Site{
		Name:     "abayskyclaim",
		Domains:  []heatherhub.FailureDomain{"bole", "kazanchis", "piassa", "merkato"},
		Workers:  70,
		Capacity: heatherhub.Resources{CPU: 16_000, Memory: 60_000},
		Traffic: []Traffic{
			{"claims-check", 50, 160 * time.Millisecond},
			{"flight-records", 60, 80 * time.Millisecond},
			{"airline-demand", 8, 300 * time.Millisecond},
		},
		Batch: []BatchLoad{
			{"compensation-letters", 40, 0.45},
			{"reply-watchers", 20, 0.15},
			{"rules-backtest", 4, 0.4},
		},
		NoisyWorkload: "rules-backtest",
		Interference: model.Interference{
			{Workload: "claims-check", Class: "render"}:   0.6,
			{Workload: "claims-check", Class: "scan"}:     2.0,
			{Workload: "flight-records", Class: "render"}: 0.3,
			{Workload: "flight-records", Class: "scan"}:   3.0,
			{Workload: "airline-demand", Class: "scan"}:   0.5,
			{Workload: "claims-check", Class: "idle"}:     0.05,
		},
		Weights: Weights{TailLatency: 0.2, Throughput: 0.4, Evictions: 0.4},
	}
}

// host returns the i-th worker of the site. Each rack is in a single failure domain.
func (s *Site) host(i int) hostlist.Host {
	domain := s.Domains[i%len(s.Domains)]
	rack := i / len(s.Domains) / workersPerRack
	return hostlist.Host{
		ID:          fmt.Sprintf("w%03d", i),
		Role:        hostlist.RoleWorker,
		Domain:      domain,
		Rack:        heatherhub.Rack(fmt.Sprintf("%s-%d", domain, rack)),
		State:       hostlist.StateLive,
		Capacity:    s.Capacity,
		Slots:       workerSlots,
		Connections: workerConnections,
	}
}

// shortenBatch returns a copy of the snapshot with shorter batch run times and deadlines.
func shortenBatch(s *heatherhub.Snapshot) *heatherhub.Snapshot {
	shortened := *s
	shortened.Workloads = append([]heatherhub.Workload(nil), s.Workloads...)
	for i := range shortened.Workloads {
		if w := &shortened.Workloads[i]; w.Kind == heatherhub.KindBatch {
			w.RunTime /= runTimeDivisor
			w.Deadline /= deadlineDivisor
		}
	}
	return &shortened
}

// withPreset returns a copy of the snapshot with another preset in force and a new version.
func withPreset(s *heatherhub.Snapshot, id heatherhub.PresetID) *heatherhub.Snapshot {
	next := *s
	next.InForce = id
	next.Version++
	return &next
}
