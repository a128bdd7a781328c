package entry

import (
	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/shard"
	"heatherhub.example/heatherhub/request/route"
	"heatherhub.example/heatherhub/version/config"
)

// directory adds this host's identity and configuration to the runtime's shard
// lookups, as route.Directory requires.
type directory struct {
	*shard.Runtime
	self   heatherhub.HostID
	domain heatherhub.FailureDomain
	keeper *config.Keeper
}

var _ route.Directory = (*directory)(nil)

// Self returns this host's ID and failure domain.
func (d *directory) Self() (heatherhub.HostID, heatherhub.FailureDomain) {
	return d.self, d.domain
}

// Snapshot returns the configuration in force on this host.
func (d *directory) Snapshot() *heatherhub.Snapshot {
	return d.keeper.Current()
}
