package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin/model"
	"heatherhub.example/heatherhub/request/endpoint"
)

// Shape of the site: one shard of one rack.
const (
	workerCount       = 8
	workerSlots       = 8
	workerConnections = 60
	workerCPU         = 30_000
	workerMemory      = 125_000
	// hopDelay is the one-way time between the owner and a worker.
	hopDelay = 500 * time.Microsecond
	// failDelay is the time in which a failing worker answers.
	failDelay = time.Millisecond
	// flakyFailureShare is the share of requests that a flaky worker fails.
	flakyFailureShare = 0.6
	// mostFailingWorkers is the number of failing workers when most of them fail.
	mostFailingWorkers = 5
	// slowFactor is the slowdown of a slow worker.
	slowFactor = 5.0
	// noisyWorkers is the number of workers that a noisy wave reaches.
	noisyWorkers = 3
	// noisyCPU is what the batch task of a noisy wave uses.
	noisyCPU = 22_000
	// noisyClass is its class.
	noisyClass = "video"
	// workSigma is the spread of the work of a request, on a log scale.
	workSigma = 0.6
	// longLease keeps the replicas of a run alive.
	longLease = time.Hour
	// callerCount is the number of customers.
	callerCount = 20
)

// serviceLoad is one service of the site.
type serviceLoad struct {
	id       heatherhub.WorkloadID
	service  endpoint.Service
	deadline time.Duration
	work     time.Duration
	// share is its part of the offered work.
	share float64
	// replicas is the number of workers with a replica, from the first on.
	replicas int
}

var serviceLoads = []serviceLoad{
	{
		id: "compile", service: endpoint.Service{Priority: 200, Concurrency: 6},
		deadline: 800 * time.Millisecond, work: 80 * time.Millisecond, share: 0.6, replicas: workerCount,
	},
	{
		id: "classroom", service: endpoint.Service{Priority: 220, Concurrency: 8},
		deadline: 300 * time.Millisecond, work: 20 * time.Millisecond, share: 0.4, replicas: workerCount,
	},
}

// simWorker is one worker of the site with its faults.
type simWorker struct {
	*model.Worker
	id           heatherhub.WorkerID
	slow         bool
	failing      bool
	unresponsive bool
	// failureShare fails a share of its requests.
	failureShare float64
	// delayedEnds holds the requests that a silent worker has to end.
	delayedEnds []*request
}

func newWorkers(start time.Time, seed uint64) ([]*simWorker, error) {
	var out []*simWorker
	for i := range workerCount {
		id := heatherhub.WorkerID(fmt.Sprintf("w%d", i))
		w := model.New(model.Config{
			Host: hostlist.Host{
				ID: string(id), Role: hostlist.RoleWorker, State: hostlist.StateLive, Slots: workerSlots,
				Connections: workerConnections, Capacity: heatherhub.Resources{CPU: workerCPU, Memory: workerMemory},
			},
			Seed: seed,
			Interference: model.Interference{
				{Workload: "compile", Class: noisyClass}:   3,
				{Workload: "classroom", Class: noisyClass}: 1.5,
			},
		})
		out = append(out, &simWorker{Worker: w, id: id})
	}
	for _, l := range serviceLoads {
		for _, h := range out[:l.replicas] {
			task := heatherhub.Task{
				ID: taskID(l.id, h.id), Workload: l.id, Kind: heatherhub.KindService,
				Size: heatherhub.Resources{CPU: 8_000, Memory: 1_000},
			}
			if err := h.Start(start, worker.StartCommand{Task: task, LeaseUntil: start.Add(longLease)}); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

func taskID(w heatherhub.WorkloadID, id heatherhub.WorkerID) heatherhub.TaskID {
	return heatherhub.TaskID(string(w) + "@" + string(id))
}

func newEndpoints(l serviceLoad, workers []*simWorker) []endpoint.Endpoint {
	var out []endpoint.Endpoint
	for _, h := range workers[:l.replicas] {
		out = append(out, endpoint.Endpoint{
			Task: taskID(l.id, h.id), Worker: h.id, Slots: workerSlots, Connections: workerConnections,
		})
	}
	return out
}

// rate is the number of requests in a second at a load of 1.
func (l serviceLoad) rate() float64 {
	return workerCount * workerSlots * l.share / l.work.Seconds()
}

// drawWork returns the work of one request.
func (l serviceLoad) drawWork(r *rand.Rand) time.Duration {
	factor := math.Exp(workSigma*r.NormFloat64() - workSigma*workSigma/2)
	return time.Duration(float64(l.work) * factor)
}

// noisyTask is the batch task that disturbs the services of a worker.
func noisyTask(id heatherhub.WorkerID) heatherhub.Task {
	return heatherhub.Task{
		ID: heatherhub.TaskID("noise@" + string(id)), Workload: "noise", Kind: heatherhub.KindBatch, Class: noisyClass,
		Size: heatherhub.Resources{CPU: noisyCPU, Memory: 1_000}, RunTime: longLease,
	}
}
