package entry

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/process/entry"
	"heatherhub.example/heatherhub/process/logs"
	"heatherhub.example/heatherhub/process/traces"
)

// tracerName names the spans of this process.
const tracerName = "heatherhub/entry"

// flushTimeout bounds the export of the remaining spans at shutdown.
const flushTimeout = 5 * time.Second

// Run checks the settings and runs the entry host. When ctx ends, it drains and returns.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	s, err := o.Settings()
	if err != nil {
		return err
	}
	return s.run(ctx, f.IO)
}

func (s *Settings) run(ctx context.Context, io *streams.IO) error {
	log, err := logs.New(logs.Config{Out: io.Err, Level: s.LogLevel, Host: s.ID, Domain: s.Domain})
	if err != nil {
		return err
	}
	if s.InsecureWarning != "" {
		log.Warn(s.InsecureWarning)
	}
	traceConfig := s.Traces
	traceConfig.Out = io.Out
	provider, err := traces.New(ctx, traceConfig)
	if err != nil {
		return err
	}
	defer flushSpans(provider, log)
	e, err := s.newEntry(log, provider)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

// newEntry connects to the platform, opens the listeners and creates the entry host.
func (s *Settings) newEntry(log *zap.Logger, provider *sdktrace.TracerProvider) (*entry.Entry, error) {
	clock := clockwork.NewRealClock()
	registry := prometheus.NewRegistry()
	platform, err := entry.ConnectHTTP(entry.HTTPConfig{
		Store: s.Store, HostList: s.HostList, Domain: s.Domain,
		EntryHosts: s.EntryHosts, StoreReadRate: s.StoreReads, StoreWriteRate: s.StoreWrites,
		Clock: clock, Registerer: registry, Log: log,
	})
	if err != nil {
		return nil, err
	}
	listeners, err := s.listen()
	if err != nil {
		return nil, err
	}
	cfg := entry.Config{
		Self: s.ID, Domain: s.Domain, Layout: s.Layout,
		Advertise: s.advertiseAddress(listeners.Peers.Addr()), Listeners: listeners, Platform: platform,
		OperatorToken: s.OperatorToken, DrainTimeout: s.DrainTimeout, Machine: s.Machine,
		Clock: clock, Log: log, Tracer: provider.Tracer(tracerName), Registry: registry,
	}
	if s.PeerKeys != nil {
		cfg.PeerServerTLS, cfg.PeerClientTLS = s.PeerKeys.Server(), s.PeerKeys.Client()
	}
	if s.OperatorKeys != nil {
		cfg.OperatorTLS = s.OperatorKeys.Server()
		cfg.OperatorTLS.NextProtos = []string{"http/1.1"}
	}
	return entry.New(cfg)
}

// listen opens all ports. If some cannot be opened, it closes the others and reports
// all failures in one ErrInvalid.
func (s *Settings) listen() (entry.Listeners, error) {
	var l entry.Listeners
	var failures []string
	open := func(flag string, a netip.AddrPort) net.Listener {
		n, err := net.Listen("tcp", a.String())
		if err != nil {
			failures = append(failures, fmt.Sprintf("%s: %s: choose an address of this host and a free port", flag, err))
		}
		return n
	}
	l.Callers = open("--caller-listen", s.CallerListen)
	l.Operators = open("--operator-listen", s.OperatorListen)
	l.Peers = open("--peer-listen", s.PeerListen)
	if len(failures) == 0 {
		return l, nil
	}
	for _, n := range []net.Listener{l.Callers, l.Operators, l.Peers} {
		if n != nil {
			_ = n.Close()
		}
	}
	return entry.Listeners{}, heatherhub.ErrInvalid.New("cannot open %d ports:\n%s", len(failures), strings.Join(failures, "\n"))
}

// advertiseAddress returns the address at which other hosts reach this one. Port 0 is
// replaced by the port that the listener was bound to.
func (s *Settings) advertiseAddress(bound net.Addr) string {
	if s.PeerAdvertise.Port() != 0 {
		return s.PeerAdvertise.String()
	}
	_, port, err := net.SplitHostPort(bound.String())
	if err != nil {
		return bound.String()
	}
	return net.JoinHostPort(s.PeerAdvertise.Addr().String(), port)
}

// flushSpans exports the remaining spans and shuts the provider down.
func flushSpans(provider *sdktrace.TracerProvider, log *zap.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := provider.Shutdown(ctx); err != nil {
		log.Warn("cannot export the remaining spans", zap.Error(err))
	}
}
