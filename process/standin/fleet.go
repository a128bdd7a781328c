package standin

import (
	"fmt"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
)

// FleetConfig describes equal workers that are spread over failure domains.
type FleetConfig struct {
	Workers int
	Domains []heatherhub.FailureDomain
	// RackSize is the number of workers in a rack; less than 1 counts as 1.
	RackSize int
	// Capacity is the capacity of each worker.
	Capacity heatherhub.Resources
	// Accelerated is the number of workers of each domain that have the
	// accelerators of the capacity; the others have none.
	Accelerated int
	// Slots is the largest number of concurrent requests of a worker. The model runs
	// more and records a violation.
	Slots int
	// Connections is the largest number of open connections of a worker. The
	// stand-in accepts more, and the model records a violation.
	Connections int
}

// Fleet returns the host list entries of the workers, spread evenly over the
// domains. The addresses are empty, for which the stand-in takes free ports.
func Fleet(cfg FleetConfig) []hostlist.Host {
	var hosts []hostlist.Host
	for i := range cfg.Workers {
		domain := cfg.Domains[i%len(cfg.Domains)]
		n := i / len(cfg.Domains)
		capacity := cfg.Capacity
		if n >= cfg.Accelerated {
			capacity.Accelerators = 0
		}
		hosts = append(hosts, hostlist.Host{
			ID:          fmt.Sprintf("%s-w%03d", domain, n),
			Role:        hostlist.RoleWorker,
			Domain:      domain,
			Rack:        heatherhub.Rack(fmt.Sprintf("%s-r%02d", domain, n/max(1, cfg.RackSize))),
			State:       hostlist.StateLive,
			Capacity:    capacity,
			Slots:       cfg.Slots,
			Connections: cfg.Connections,
		})
	}
	return hosts
}
