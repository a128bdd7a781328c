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

// The simulated site: one shard with workerCount workers, without distinction of racks.
const (
	workerCount       = 8
	workerSlots       = 8
	workerConnections = 60
	workerCPU         = 30_000
	workerMemory      = 125_000
	// hopDelay is the one-way network latency between the owner and a worker.
	hopDelay = 500 * time.Microsecond
	// failDelay is the time that a worker takes to fail a request. It is far shorter than
	// the service times, so that a failing worker appears faster than the healthy ones.
	failDelay = time.Millisecond
	// flakyFailureShare is the share of its requests that a flaky worker fails.
	flakyFailureShare = 0.6
	// mostFailingWorkers is the number of failing workers with FaultMostFailing.
	mostFailingWorkers = 5
	// slowFactor multiplies the service times of a slow worker.
	slowFactor = 5.0
	// noisyWorkers is the number of workers with an interfering batch task.
	noisyWorkers = 3
	// noisyCPU is the size of an interfering batch task in thousandths of a processor.
	noisyCPU = 22_000
	// noisyClass is the workload class of an interfering batch task.
	noisyClass = "video"
	// workSigma is the standard deviation of the logarithm of a request's service time.
	workSigma = 0.6
	// longLease is longer than a run, so that no task needs a renewal.
	longLease = time.Hour
	// callerCount is the number of distinct callers, without the greedy one.
	callerCount = 20
)

// serviceLoad is a service and the requests that it receives.
type serviceLoad struct {
	id       heatherhub.WorkloadID
	service  endpoint.Service
	deadline time.Duration
	// work is the mean service time of a request on an idle worker.
	work time.Duration
	// share is the fraction of the site's load that goes to this service.
	share float64
	// replicas is the number of replicas, one on each of the first workers.
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

// simWorker is a simulated worker and its injected faults.
type simWorker struct {
	*model.Worker
	id           heatherhub.WorkerID
	slow         bool
	failing      bool
	unresponsive bool
	// failureShare is the share of requests that a flaky worker fails, else 0.
	failureShare float64
	// delayedEnds are the requests that end when an unresponsive worker recovers.
	delayedEnds []*request
}

// newWorkers returns the workers of the site with all replicas started.
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
		for _, w := range out[:l.replicas] {
			task := heatherhub.Task{
				ID: taskID(l.id, w.id), Workload: l.id, Kind: heatherhub.KindService,
				Size: heatherhub.Resources{CPU: 8_000, Memory: 1_000},
			}
			if err := w.Start(start, worker.StartCommand{Task: task, LeaseUntil: start.Add(longLease)}); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

func taskID(w heatherhub.WorkloadID, id heatherhub.WorkerID) heatherhub.TaskID {
	return heatherhub.TaskID(string(w) + "@" + string(id))
}

// newEndpoints returns the endpoints of a service for the pool.
func newEndpoints(l serviceLoad, workers []*simWorker) []endpoint.Endpoint {
	var out []endpoint.Endpoint
	for _, w := range workers[:l.replicas] {
		out = append(out, endpoint.Endpoint{
			Task: taskID(l.id, w.id), Worker: w.id, Slots: workerSlots, Connections: workerConnections,
		})
	}
	return out
}

// rate returns the number of requests per second that fills all slots of the site.
func (l serviceLoad) rate() float64 {
	return workerCount * workerSlots * l.share / l.work.Seconds()
}

// drawWork draws a service time from a log-normal distribution with mean l.work.
func (l serviceLoad) drawWork(r *rand.Rand) time.Duration {
	factor := math.Exp(workSigma*r.NormFloat64() - workSigma*workSigma/2)
	return time.Duration(float64(l.work) * factor)
}

// noisyTask returns a batch task that slows the services on the worker.
func noisyTask(id heatherhub.WorkerID) heatherhub.Task {
	return heatherhub.Task{
		ID: heatherhub.TaskID("noise@" + string(id)), Workload: "noise", Kind: heatherhub.KindBatch, Class: noisyClass,
		Size: heatherhub.Resources{CPU: noisyCPU, Memory: 1_000}, RunTime: longLease,
	}
}
