package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/inbound"
	"heatherhub.example/heatherhub/connection/peer"
	"heatherhub.example/heatherhub/request/operator"
)

const (
	// headerTimeout bounds the reading of request headers on the caller port.
	headerTimeout = 5 * time.Second
	// idleTimeout closes idle keep-alive connections on the caller port.
	idleTimeout = 2 * time.Minute
	// writeTimeout bounds each write of a response.
	writeTimeout = 10 * time.Second
	// announceInterval is the interval at which this host renews its registration
	// in the platform's host list.
	announceInterval = 5 * time.Second
)

// Run serves until ctx is cancelled, then shuts down gracefully: the health check
// fails first, then the shards are handed over and requests in flight complete.
// A failure of the shard runtime also shuts the host down and is returned.
func (e *Entry) Run(ctx context.Context) error {
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	failed := make(chan error, 1)
	e.keeper.OnChange(e.relaySnapshot)
	e.group.Go(func() { e.keeper.Run(workCtx) })
	e.group.Go(func() {
		if err := e.runtime.Run(workCtx); err != nil {
			failed <- err
		}
	})
	e.group.Go(func() { e.announce(workCtx) })
	callers, operators := e.newHTTPServers()
	e.serve(callers, e.limit("callers", inbound.CallerShare, callers, e.cfg.Listeners.Callers))
	e.serve(operators, e.limit("operators", inbound.OperatorShare, operators, e.cfg.Listeners.Operators))
	e.group.Go(func() { e.servePeers() })
	e.cfg.Log.Info("entry host serves",
		zap.Stringer("callers", e.cfg.Listeners.Callers.Addr()),
		zap.Stringer("operators", e.cfg.Listeners.Operators.Addr()),
		zap.Stringer("peers", e.cfg.Listeners.Peers.Addr()))

	var err error
	select {
	case <-ctx.Done():
	case <-e.aborted:
		e.abort(callers, operators, cancelWork)
		return nil
	case err = <-failed:
		e.cfg.Log.Error("entry host failed, shutting down", zap.Error(err))
	}
	return errors.Join(err, e.stop(callers, operators, cancelWork))
}

// Abort makes Run return at once, as if the host had crashed: connections break
// and no shard is handed over. It is for tests and the demo.
func (e *Entry) Abort() {
	e.abortOnce.Do(func() { close(e.aborted) })
}

func (e *Entry) abort(callers, operators *http.Server, cancelWork func()) {
	cancelWork()
	_ = callers.Close()
	_ = operators.Close()
	e.peerServer.Close()
	e.peerClient.Close()
	e.owner.Close()
	e.group.Wait()
}

func (e *Entry) newHTTPServers() (callers, operators *http.Server) {
	callers = &http.Server{
		Handler:           e.callers,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	operators = operator.NewServer(operator.New(operator.Config{
		Backend:       backend{e},
		Configuration: e.keeper,
		Token:         e.cfg.OperatorToken,
		Metrics:       promhttp.HandlerFor(e.cfg.Registry, promhttp.HandlerOpts{}),
		Log:           e.cfg.Log,
		Tracer:        e.cfg.Tracer,
		Registerer:    e.cfg.Registry,
	}))
	operators.TLSConfig = e.cfg.OperatorTLS
	return callers, operators
}

func (e *Entry) serve(s *http.Server, l net.Listener) {
	e.group.Go(func() {
		var err error
		if s.TLSConfig != nil {
			err = s.ServeTLS(l, "", "")
		} else {
			err = s.Serve(l)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			e.cfg.Log.Error("HTTP server stopped unexpectedly", zap.Stringer("address", l.Addr()), zap.Error(err))
		}
	})
}

// limit limits what the clients of an HTTP server make the host hold, and returns the listener to
// serve.
func (e *Entry) limit(name string, share inbound.Share, s *http.Server, l net.Listener) net.Listener {
	gate := inbound.NewGate(inbound.Config{
		Name: name, MaxConnections: e.cfg.Machine.MaxConnections(share), MaxBytes: e.cfg.Machine.MaxBytes(share), HeaderCost: inbound.HTTPHeaderCost,
		WriteTimeout: writeTimeout, Log: e.cfg.Log, Registry: e.cfg.Registry,
	})
	gate.Attach(s)
	s.MaxHeaderBytes = inbound.MaxHeaderBytes
	return gate.Listener(l)
}

// maxPeers returns the largest number of connections from other hosts.
func (e *Entry) maxPeers() int {
	return min(e.cfg.Machine.MaxConnections(inbound.PeerShare), peer.DefaultMaxConnections)
}

func (e *Entry) servePeers() {
	gate := inbound.NewGate(inbound.Config{
		Name: "peers", MaxConnections: e.maxPeers(), MaxBytes: e.cfg.Machine.MaxBytes(inbound.PeerShare), Log: e.cfg.Log, Registry: e.cfg.Registry,
	})
	if err := e.peerServer.Serve(gate.Listener(e.cfg.Listeners.Peers)); err != nil {
		e.cfg.Log.Error("peer server stopped unexpectedly", zap.Error(err))
	}
}

// announce keeps this host registered in the platform's host list until ctx ends.
func (e *Entry) announce(ctx context.Context) {
	if e.cfg.Platform.Announce == nil {
		return
	}
	ticker := e.cfg.Clock.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if err := e.announceOnce(ctx); err != nil && ctx.Err() == nil {
			e.cfg.Log.Warn("cannot register this host in the host list", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (e *Entry) announceOnce(ctx context.Context) error {
	if e.cfg.Platform.Announce == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state := hostlist.StateLive
	if e.isLeaving.Load() {
		state = hostlist.StateLeaving
	}
	return e.cfg.Platform.Announce(ctx, hostlist.Host{
		ID: string(e.cfg.Self), Role: hostlist.RoleEntry, Domain: e.cfg.Domain,
		Address: e.cfg.Advertise, State: state,
	})
}

// stop shuts down gracefully. All steps share the drain timeout.
func (e *Entry) stop(callers, operators *http.Server, cancelWork func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.DrainTimeout)
	defer cancel()
	e.isLeaving.Store(true)
	e.callers.Drain()
	announceErr := e.announceOnce(ctx)
	e.waitForBalancer(ctx)
	handOverErr := e.runtime.Drain(ctx)
	serveErr := errors.Join(callers.Shutdown(ctx), operators.Shutdown(ctx), e.peerServer.Drain(ctx))
	e.owner.Close()
	cancelWork()
	e.peerServer.Close()
	e.peerClient.Close()
	e.group.Wait()
	e.cfg.Log.Info("entry host stopped", zap.NamedError("announce", announceErr), zap.NamedError("handOver", handOverErr), zap.NamedError("serve", serveErr))
	return errors.Join(handOverErr, serveErr)
}

// waitForBalancer waits until the load balancer has noticed the failing health
// check, so that no new request arrives while the shards are handed over.
func (e *Entry) waitForBalancer(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.cfg.Clock.After(e.cfg.BalancerDelay):
	}
}
