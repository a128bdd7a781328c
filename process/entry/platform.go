package entry

import (
	"net/url"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/platform"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/worker"
)

// The store's budget of the whole system, in calls per second.
const (
	DefaultStoreReadRate  rate.Limit = 1500
	DefaultStoreWriteRate rate.Limit = 300
)

// HTTPConfig says where the platform is.
type HTTPConfig struct {
	// Store and HostList are URLs.
	Store    string
	HostList string
	Domain   heatherhub.FailureDomain
	// EntryHosts is the number of entry hosts that share the store's budget.
	EntryHosts int
	// StoreReadRate and StoreWriteRate are the store's budget of all entry hosts together; zero
	// for the defaults.
	StoreReadRate, StoreWriteRate rate.Limit
	Clock                         clockwork.Clock
	Registerer                    prometheus.Registerer
}

// ConnectHTTP returns the platform that is met by HTTP. No connection is made
// yet.
func ConnectHTTP(cfg HTTPConfig) (Platform, error) {
	storeAddress, err := hostAndPort(cfg.Store)
	if err != nil {
		return Platform{}, err
	}
	listAddress, err := hostAndPort(cfg.HostList)
	if err != nil {
		return Platform{}, err
	}
	list := hostlist.NewClient(cfg.platformConfig("hostList", listAddress))
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
	share := rate.Limit(max(1, cfg.EntryHosts))
	return store.LimiterConfig{
		Store:      store.NewClient(cfg.platformConfig("store", address)),
		Clock:      cfg.Clock,
		ReadRate:   reads / share,
		WriteRate:  writes / share,
		Registerer: cfg.Registerer,
	}
}

func hostAndPort(text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" {
		return "", heatherhub.ErrInvalid.New("%q is no URL: write for example http://10.0.0.9:7400", text)
	}
	return u.Host, nil
}
