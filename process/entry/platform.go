package entry

import (
	"net/url"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/platform"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/worker"
)

// Default rate limits on the store, in calls per second over all entry hosts.
const (
	DefaultStoreReadRate  rate.Limit = 1500
	DefaultStoreWriteRate rate.Limit = 300
)

// HTTPConfig configures a platform that is reached over HTTP.
type HTTPConfig struct {
	// Store and HostList are base URLs.
	Store    string
	HostList string
	Domain   heatherhub.FailureDomain
	// EntryHosts is the number of entry hosts that share the store's rate limits.
	EntryHosts int
	// StoreReadRate and StoreWriteRate limit the calls of all entry hosts together,
	// per second; each host gets an equal share. Zero selects the defaults.
	StoreReadRate, StoreWriteRate rate.Limit
	Clock                         clockwork.Clock
	Registerer                    prometheus.Registerer
	Log                           *zap.Logger
}

// ConnectHTTP returns the clients of a platform that is reached over HTTP. It opens
// no connection; it fails only if a URL is invalid.
func ConnectHTTP(cfg HTTPConfig) (Platform, error) {
	storeAddress, err := hostAndPort(cfg.Store)
	if err != nil {
		return Platform{}, err
	}
	listAddress, err := hostAndPort(cfg.HostList)
	if err != nil {
		return Platform{}, err
	}
	list := hostlist.NewClient(hostlist.ClientConfig{Platform: cfg.platformConfig("hostList", listAddress), Log: cfg.Log})
	return Platform{
		Store: store.NewLimiter(cfg.limiterConfig(storeAddress)),
		Hosts: list,
		Workers: worker.NewClient(worker.ClientConfig{
			Platform:       cfg.platformConfig("workers", ""),
			RequestTraffic: platform.NewTraffic("replicas", cfg.Registerer),
		}),
		Announce: list.Put,
	}, nil
}

func (cfg HTTPConfig) platformConfig(service, address string) platform.Config {
	return platform.Config{Address: address, Domain: cfg.Domain, Traffic: platform.NewTraffic(service, cfg.Registerer)}
}

func (cfg HTTPConfig) limiterConfig(address string) store.LimiterConfig {
	reads, writes := cfg.StoreReadRate, cfg.StoreWriteRate
	if reads == 0 {
		reads = DefaultStoreReadRate
	}
	if writes == 0 {
		writes = DefaultStoreWriteRate
	}
	hosts := rate.Limit(max(1, cfg.EntryHosts))
	return store.LimiterConfig{
		Store:      store.NewClient(cfg.platformConfig("store", address)),
		Clock:      cfg.Clock,
		ReadRate:   reads / hosts,
		WriteRate:  writes / hosts,
		Registerer: cfg.Registerer,
	}
}

// hostAndPort returns the host and port of a URL.
func hostAndPort(text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" {
		return "", heatherhub.ErrInvalid.New("%q is not a valid URL: use, for example, http://10.0.0.9:7400", text)
	}
	return u.Host, nil
}
