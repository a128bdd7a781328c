package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/platform"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin/model"
)

// workerServer serves one model worker on its own port.
type workerServer struct {
	standin    *Standin
	host       hostlist.Host
	model      *model.Worker
	connFaults *connFaults

	// mu guards server, which revive replaces.
	mu     sync.Mutex
	server *http.Server
}

// newWorkerServer opens the worker's port and starts to serve it.
func (s *Standin) newWorkerServer(h hostlist.Host) (*workerServer, error) {
	w := &workerServer{standin: s, host: h}
	w.connFaults = newConnFaults(func(n int) { w.model.ObserveConnections(s.clock.Now(), n) })
	listener, err := net.Listen("tcp", h.Address)
	if err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "worker %s cannot listen on %s: choose another address", h.ID, h.Address)
	}
	w.host.Address = listener.Addr().String()
	cfg := s.cfg.Worker
	cfg.Host = w.host
	w.model = model.New(cfg)
	w.serve(listener)
	return w, nil
}

// serve starts to serve the worker on a listener.
func (w *workerServer) serve(l net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	server := platform.NewServer(w.handler())
	w.server = server
	w.standin.group.Go(func() { _ = server.Serve(w.connFaults.wrapListener(l)) })
}

// close closes the worker's port and connections. The thaw ends reads and writes
// that are blocked by a freeze.
func (w *workerServer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connFaults.thaw()
	_ = w.server.Close()
}

// kill stops the worker: its port refuses connections and its tasks are lost.
func (w *workerServer) kill() {
	w.model.Kill(w.standin.clock.Now())
	w.close()
}

// revive reopens the port of a killed worker; a live one stays as it is.
func (w *workerServer) revive() error {
	if !w.model.IsDead() {
		return nil
	}
	l, err := net.Listen("tcp", w.host.Address)
	if err != nil {
		return heatherhub.ErrUnavailable.Wrap(err, "worker %s cannot listen on %s again: try later", w.host.ID, w.host.Address)
	}
	w.model.Revive(w.standin.clock.Now())
	w.serve(l)
	return nil
}

// freeze pauses the connections before the model, and thaw resumes the model
// first, so that calls block instead of getting the error of a frozen model.
func (w *workerServer) freeze() {
	w.connFaults.freeze()
	w.model.Freeze(w.standin.clock.Now())
}

func (w *workerServer) thaw() {
	w.model.Thaw(w.standin.clock.Now())
	w.connFaults.thaw()
}

// handler serves the commands and requests of the worker, subject to the partition.
func (w *workerServer) handler() http.Handler {
	r := httprouter.New()
	r.POST(worker.PathStart, handleCommand(w, func(now time.Time, c worker.StartCommand) (any, error) {
		return struct{}{}, w.model.Start(now, c)
	}))
	r.POST(worker.PathRenew, handleCommand(w, func(now time.Time, c worker.RenewCall) (any, error) {
		return worker.HandleRenewal(c, w.model.Tasks(now), func(c worker.RenewCommand) (worker.Report, error) {
			return w.model.Renew(now, c)
		})
	}))
	r.POST(worker.PathCheckpoint, handleCommand(w, func(now time.Time, c worker.TaskCall) (any, error) {
		ref, err := w.model.Checkpoint(now, c.Task)
		return worker.CheckpointReply{Checkpoint: ref}, err
	}))
	r.POST(worker.PathThrottle, handleCommand(w, func(now time.Time, c worker.ThrottleCall) (any, error) {
		return struct{}{}, w.model.Throttle(now, c.Task, c.Share)
	}))
	r.POST(worker.PathStop, handleCommand(w, func(now time.Time, c worker.TaskCall) (any, error) {
		return struct{}{}, w.model.Stop(now, c.Task)
	}))
	r.POST(worker.PathServe, w.handleServe)
	return w.standin.partition.blockCalls(w.host.Domain, r)
}

// handleCommand returns a handler that decodes a msgpack command, calls do with
// the current time and encodes its result.
func handleCommand[In any](w *workerServer, do func(time.Time, In) (any, error)) httprouter.Handle {
	return func(rw http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		_, span := w.startSpan(r, "worker "+r.URL.Path)
		defer span.End()
		var in In
		if err := platform.ReadRequest(rw, r, platform.Msgpack, worker.MaxCommandBytes, &in); err != nil {
			platform.WriteError(rw, err)
			return
		}
		out, err := do(w.standin.clock.Now(), in)
		if err != nil {
			platform.WriteError(rw, err)
			return
		}
		platform.WriteResponse(rw, platform.Msgpack, out)
	}
}

// startSpan starts a server span under the trace context of the caller's headers.
func (w *workerServer) startSpan(r *http.Request, name string) (context.Context, trace.Span) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return w.standin.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("heatherhub.worker", w.host.ID)))
}

// handleServe runs a request to its end, even when its caller has given up, and
// returns the request's body as the answer.
func (w *workerServer) handleServe(rw http.ResponseWriter, h *http.Request, _ httprouter.Params) {
	_, span := w.startSpan(h, "worker serve")
	defer span.End()
	r, err := worker.ReadRequest(rw, h)
	if err != nil {
		platform.WriteError(rw, err)
		return
	}
	clock := w.standin.clock
	took, err := w.model.BeginRequest(clock.Now(), r, w.requestWork(r.Workload))
	if err != nil {
		platform.WriteError(rw, err)
		return
	}
	clock.Sleep(took)
	if err := w.model.EndRequest(clock.Now(), r.ID); err != nil {
		platform.WriteError(rw, err)
		return
	}
	worker.WriteAnswer(rw, worker.Answer{ID: r.ID, Status: http.StatusOK, Body: r.Body, Digest: worker.Digest(r.Body)})
}

// requestWork returns the time that a request of a workload takes on an idle
// worker.
func (w *workerServer) requestWork(id heatherhub.WorkloadID) time.Duration {
	if d, ok := w.standin.cfg.Work[id]; ok {
		return d
	}
	return DefaultWork
}
