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
	"heatherhub.example/heatherhub/request/operator"
)

// Limits of the callers' port.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// announceInterval is the time between two announcements to the platform.
	announceInterval = 5 * time.Second
)

// Run serves until ctx ends, then stops gracefully: the health check fails first,
// the shards are handed over, and requests in flight get their answers.
func (e *Entry) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	failed := make(chan error, 1)
	e.keeper.OnChange(e.relaySnapshot)
	e.group.Go(func() { e.keeper.Run(work) })
	e.group.Go(func() {
		if err := e.runtime.Run(work); err != nil {
			failed <- err
		}
	})
	e.group.Go(func() { e.announce(work) })
	callers, operators := e.newHTTPServers()
	e.serve(callers, e.cfg.Listeners.Callers)
	e.serve(operators, e.cfg.Listeners.Operators)
	e.group.Go(func() { e.servePeers() })
	e.cfg.Log.Info("entry host serves",
		zap.Stringer("callers", e.cfg.Listeners.Callers.Addr()),
		zap.Stringer("operators", e.cfg.Listeners.Operators.Addr()),
		zap.Stringer("peers", e.cfg.Listeners.Peers.Addr()))

	var err error
	select {
	case <-ctx.Done():
	case <-e.aborted:
		e.abort(callers, operators, stopWork)
		return nil
	case err = <-failed:
		e.cfg.Log.Error("entry host cannot go on", zap.Error(err))
	}
	return errors.Join(err, e.stop(callers, operators, stopWork))
}

// Abort makes Run end at once, as if the host had died: connections break and
// nothing is handed over. It is for tests and the demo.
func (e *Entry) Abort() {
	e.abortOnce.Do(func() { close(e.aborted) })
}

func (e *Entry) abort(callers, operators *http.Server, stopWork func()) {
	stopWork()
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
		MaxHeaderBytes:    maxHeaderBytes,
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
			e.cfg.Log.Error("a port stopped serving", zap.Stringer("address", l.Addr()), zap.Error(err))
		}
	})
}

func (e *Entry) servePeers() {
	if err := e.peerServer.Serve(e.cfg.Listeners.Peers); err != nil {
		e.cfg.Log.Error("the peer port stopped serving", zap.Error(err))
	}
}

// announce keeps this host in the platform's list.
func (e *Entry) announce(ctx context.Context) {
	if e.cfg.Platform.Announce == nil {
		return
	}
	ticker := e.cfg.Clock.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if err := e.announceOnce(ctx); err != nil && ctx.Err() == nil {
			e.cfg.Log.Warn("cannot announce this host", zap.Error(err))
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
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
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

// stop is the planned stop. Each step has what is left of the drain timeout.
func (e *Entry) stop(callers, operators *http.Server, stopWork func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.DrainTimeout)
	defer cancel()
	e.isLeaving.Store(true)
	e.callers.Drain()
	announced := e.announceOnce(ctx)
	e.waitForBalancer(ctx)
	handed := e.runtime.Drain(ctx)
	served := errors.Join(callers.Shutdown(ctx), operators.Shutdown(ctx), e.peerServer.Drain(ctx))
	e.owner.Close()
	stopWork()
	e.peerServer.Close()
	e.peerClient.Close()
	e.group.Wait()
	e.cfg.Log.Info("entry host has stopped", zap.NamedError("announce", announced), zap.NamedError("handOver", handed), zap.NamedError("serve", served))
	return errors.Join(handed, served)
}

func (e *Entry) waitForBalancer(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.cfg.Clock.After(e.cfg.BalancerDelay):
	}
}
