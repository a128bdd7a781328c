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
	DefaultStoreReads  rate.Limit = 1500
	DefaultStoreWrites rate.Limit = 300
)

// HTTPConfig says where the platform is.
type HTTPConfig struct {
	// Store and HostList are URLs.
	Store    string
	HostList string
	Domain   heatherhub.FailureDomain
	// Entries is the number of entry hosts that share the store's budget.
	Entries int
	// Reads and Writes are the store's budget of all entry hosts together; zero
	// for the defaults.
	Reads, Writes rate.Limit
	Clock         clockwork.Clock
	Registerer    prometheus.Registerer
}

// ConnectHTTP returns the platform that is met by HTTP. No connection is made
// yet.
func ConnectHTTP(cfg HTTPConfig) (Platform, error) {
	storeAddress, err := addressOf(cfg.Store)
	if err != nil {
		return Platform{}, err
	}
	listAddress, err := addressOf(cfg.HostList)
	if err != nil {
		return Platform{}, err
	}
	list := hostlist.NewClient(cfg.connections("hostList", listAddress))
	return Platform{
		Store: store.NewLimiter(cfg.limiter(storeAddress)),
		Hosts: list,
		Workers: worker.NewClient(worker.ClientConfig{
			Platform:       cfg.connections("workers", ""),
			RequestTraffic: platform.NewTraffic("replicas", cfg.Registerer),
		}),
		Announce: list.Put,
	}, nil
}

func (cfg HTTPConfig) connections(service, address string) platform.Config {
	return platform.Config{Address: address, Domain: cfg.Domain, Traffic: platform.NewTraffic(service, cfg.Registerer)}
}

func (cfg HTTPConfig) limiter(address string) store.LimiterConfig {
	reads, writes := cfg.Reads, cfg.Writes
	if reads == 0 {
		reads = DefaultStoreReads
	}
	if writes == 0 {
		writes = DefaultStoreWrites
	}
	share := rate.Limit(max(1, cfg.Entries))
	return store.LimiterConfig{
		Store:      store.NewClient(cfg.connections("store", address)),
		Clock:      cfg.Clock,
		ReadRate:   reads / share,
		WriteRate:  writes / share,
		Registerer: cfg.Registerer,
	}
}

func addressOf(text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" {
		return "", heatherhub.ErrInvalid.New("%q is no URL: write for example http://10.0.0.9:7400", text)
	}
	return u.Host, nil
}
