package routing

import (
	"math/rand/v2"
	"time"

	"heatherhub.example/heatherhub/request/endpoint"
)

// Fault is a fault of the first worker, or of the first few.
type Fault string

// Faults. Each lasts from faultFrom to faultTo. Failing workers answer faster than
// healthy ones; see failDelay.
const (
	FaultNone Fault = "none"
	// FaultSlow makes one worker take slowFactor times as long.
	FaultSlow Fault = "slow"
	// FaultFailing makes one worker fail every request after failDelay.
	FaultFailing Fault = "failing"
	// FaultFlaky makes one worker fail a share of its requests after failDelay.
	FaultFlaky Fault = "flaky"
	// FaultMostFailing makes most workers fail every request after failDelay.
	FaultMostFailing Fault = "mostFailing"
	// FaultUnresponsive makes one worker stop responding.
	FaultUnresponsive Fault = "silent"
	// FaultInterference starts batch tasks that slow the services on some workers.
	FaultInterference Fault = "noisy"
)

// Start and end of faults and bursts, relative to the start of a run.
const (
	faultFrom = 5 * time.Second
	faultTo   = 13 * time.Second
	burstFrom = 6 * time.Second
	burstTo   = 9 * time.Second
)

// Scenario combines an offered load with at most one burst or fault.
type Scenario struct {
	Name string
	// Load is the offered load relative to the capacity of the workers' slots.
	Load float64
	// BurstFactor multiplies the load from burstFrom to burstTo; 0 means no burst.
	BurstFactor float64
	Fault       Fault
	// GreedyShare is the share of the requests that a single greedy caller sends.
	GreedyShare float64
	// RecoveryFrom is the end of the burst or fault, from which recovery is measured. It
	// is zero if there is neither.
	RecoveryFrom time.Duration
}

// Scenarios returns all scenarios in the order of the report.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "load 50%", Load: 0.5, Fault: FaultNone},
		{Name: "load 80%", Load: 0.8, Fault: FaultNone},
		{Name: "load 95%", Load: 0.95, Fault: FaultNone},
		{Name: "load 120%", Load: 1.2, Fault: FaultNone},
		{Name: "burst 10x", Load: 0.5, BurstFactor: 10, Fault: FaultNone, RecoveryFrom: burstTo},
		{Name: "one slow worker", Load: 0.7, Fault: FaultSlow, RecoveryFrom: faultTo},
		{Name: "one failing fast", Load: 0.7, Fault: FaultFailing, RecoveryFrom: faultTo},
		{Name: "one flaky", Load: 0.7, Fault: FaultFlaky, RecoveryFrom: faultTo},
		{Name: "most failing fast", Load: 0.3, Fault: FaultMostFailing, RecoveryFrom: faultTo},
		{Name: "one silent", Load: 0.7, Fault: FaultUnresponsive, RecoveryFrom: faultTo},
		{Name: "noisy wave", Load: 0.6, Fault: FaultInterference, RecoveryFrom: faultTo},
		{Name: "greedy caller", Load: 1.5, Fault: FaultNone, GreedyShare: 0.7},
	}
}

// NamedPolicy is a pool configuration under test.
type NamedPolicy struct {
	Name   string
	Config func(seed uint64) endpoint.Config
}

// withPolicy returns a configuration function that replaces only the selection policy.
func withPolicy(f func(r *rand.Rand) endpoint.Policy[*endpoint.Replica]) func(uint64) endpoint.Config {
	return func(seed uint64) endpoint.Config {
		r := rand.New(rand.NewPCG(seed, policyStream))
		return endpoint.Config{NewPolicy: func() endpoint.Policy[*endpoint.Replica] { return f(r) }}
	}
}

// policyStream seeds the policies separately from the load and the faults.
const policyStream = 77

// Policies returns the default configuration and the baselines.
func Policies() []NamedPolicy {
	type replica = *endpoint.Replica
	return []NamedPolicy{
		{Name: "default", Config: func(uint64) endpoint.Config { return endpoint.Config{} }},
		{Name: "round robin", Config: withPolicy(func(*rand.Rand) endpoint.Policy[replica] {
			return &endpoint.RoundRobin[replica]{}
		})},
		{Name: "random two choices", Config: withPolicy(func(r *rand.Rand) endpoint.Policy[replica] {
			return &endpoint.PowerOfTwoChoices[replica]{Rand: r, Cost: endpoint.OutstandingCost}
		})},
		{Name: "least outstanding", Config: withPolicy(func(*rand.Rand) endpoint.Policy[replica] {
			return &endpoint.LeastCost[replica]{Cost: endpoint.OutstandingCost}
		})},
		{Name: "plain peak-EWMA", Config: withPolicy(func(r *rand.Rand) endpoint.Policy[replica] {
			return &endpoint.PowerOfTwoChoices[replica]{Rand: r, Cost: endpoint.PeakEWMACost}
		})},
		{Name: "no admission", Config: func(uint64) endpoint.Config {
			return endpoint.Config{Admission: endpoint.AdmitAll{}}
		}},
		{Name: "consecutive failures only", Config: func(uint64) endpoint.Config {
			return endpoint.Config{NewBreaker: func() endpoint.Breaker { return &endpoint.ConsecutiveBreaker{} }}
		}},
		{Name: "no ejection", Config: func(uint64) endpoint.Config {
			return endpoint.Config{NewBreaker: func() endpoint.Breaker { return endpoint.NoBreaker{} }}
		}},
	}
}
