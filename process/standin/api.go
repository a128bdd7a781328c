package standin

import (
	"cmp"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/platform"
	"heatherhub.example/heatherhub/connection/store"
)

// handler serves the platform's own port. The fault switches, the audit and the
// list of workers bypass the partition, so that tests can reach them at any time.
func (s *Standin) handler() http.Handler {
	r := httprouter.New()
	s.routeStore(r)
	s.routeHosts(r)
	partitioned := s.partition.blockCalls("", r)
	all := httprouter.New()
	all.POST("/faults", s.handleFaults)
	all.GET("/audit", s.handleAudit)
	all.GET("/workers", s.handleWorkers)
	all.NotFound = partitioned
	return all
}

// routeStore adds the endpoints of the key-value service.
func (s *Standin) routeStore(r *httprouter.Router) {
	r.GET(store.PathKey, handleWithoutBody(func(r *http.Request) (any, error) {
		return s.store.Get(r.Context(), r.URL.Query().Get("key"))
	}))
	r.GET(store.PathList, handleWithoutBody(emptyIfNil(func(r *http.Request) ([]store.Entry, error) {
		return s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	})))
	r.GET(store.PathWatch, handleWithoutBody(emptyIfNil(func(r *http.Request) ([]store.Entry, error) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			return nil, heatherhub.ErrInvalid.New("after is not a revision: send a number")
		}
		return s.store.Watch(r.Context(), r.URL.Query().Get("prefix"), store.Revision(after))
	})))
	r.POST(store.PathKey, handleWithBody(store.MaxCallBytes, func(r *http.Request, w store.Write) (any, error) {
		rev, err := s.store.CompareAndSwap(r.Context(), w)
		return store.WriteReply{Revision: rev}, err
	}))
	r.POST(store.PathLeases, handleWithBody(store.MaxCallBytes, func(r *http.Request, c store.LeaseCall) (any, error) {
		id, err := s.store.GrantLease(r.Context(), time.Duration(c.TTLMs)*time.Millisecond)
		return store.LeaseReply{ID: id}, err
	}))
	r.POST(store.PathRenew, handleWithBody(store.MaxCallBytes, func(r *http.Request, c store.LeaseCall) (any, error) {
		return store.LeaseReply{ID: c.ID}, s.store.RenewLease(r.Context(), c.ID)
	}))
	r.POST(store.PathRevoke, handleWithBody(store.MaxCallBytes, func(r *http.Request, c store.LeaseCall) (any, error) {
		return store.LeaseReply{ID: c.ID}, s.store.RevokeLease(r.Context(), c.ID)
	}))
}

// routeHosts adds the endpoints of the host list.
func (s *Standin) routeHosts(r *httprouter.Router) {
	r.GET(hostlist.PathHosts, handleWithoutBody(emptyIfNil(func(r *http.Request) ([]hostlist.Host, error) {
		return s.hosts.Hosts(r.Context())
	})))
	r.GET(hostlist.PathChanges, handleWithoutBody(func(r *http.Request) (any, error) {
		after, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("after"), "0"), 10, 64)
		if err != nil {
			return nil, heatherhub.ErrInvalid.New("after is not a revision: send a number")
		}
		return s.hosts.Changes(r.URL.Query().Get("list"), after)
	}))
	const hostPath = hostlist.PathHosts + "/:id"
	r.PUT(hostPath, handleWithBody(hostlist.MaxHostBytes, func(_ *http.Request, h hostlist.Host) (any, error) {
		s.hosts.Put(h)
		return struct{}{}, nil
	}))
	r.DELETE(hostPath, func(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
		s.hosts.Remove(p.ByName("id"))
		platform.WriteResponse(w, platform.JSON, struct{}{})
	})
}

// emptyIfNil returns an empty slice for a nil one, which JSON encodes as [] and
// not as null.
func emptyIfNil[Item any](do func(*http.Request) ([]Item, error)) func(*http.Request) (any, error) {
	return func(r *http.Request) (any, error) {
		items, err := do(r)
		if items == nil {
			items = []Item{}
		}
		return items, err
	}
}

// handleWithoutBody returns a handler of a call without a body.
func handleWithoutBody(do func(*http.Request) (any, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		respond(w, r, do)
	}
}

// handleWithBody returns a handler of a call with a JSON body of at most limit
// bytes.
func handleWithBody[In any](limit int64, do func(*http.Request, In) (any, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var in In
		if err := platform.ReadRequest(w, r, platform.JSON, limit, &in); err != nil {
			platform.WriteError(w, err)
			return
		}
		respond(w, r, func(r *http.Request) (any, error) { return do(r, in) })
	}
}

// respond calls do and writes its result or its error as JSON.
func respond(w http.ResponseWriter, r *http.Request, do func(*http.Request) (any, error)) {
	out, err := do(r)
	switch {
	case heatherhub.CodeOf(err) == heatherhub.CodeUnknown:
		// An injected lost answer: close the connection without a response.
		panic(http.ErrAbortHandler)
	case err != nil:
		platform.WriteError(w, err)
	default:
		platform.WriteResponse(w, platform.JSON, out)
	}
}
