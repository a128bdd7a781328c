package caller

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/inbound"
	"heatherhub.example/heatherhub/request/route"
)

// readRequest validates the headers and reads the body. It returns the request and the
// time until its deadline. The request has an id even if there is an error.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request, id heatherhub.WorkloadID) (route.Request, time.Duration, error) {
	req := route.Request{
		ID:       heatherhub.RequestID(r.Header.Get(HeaderRequestID)),
		Workload: id,
		Key:      heatherhub.IdempotencyKey(r.Header.Get(HeaderKey)),
		Caller:   callerName(r),
	}
	if req.ID == "" {
		req.ID = heatherhub.RequestID(uuid.NewString())
	}
	if err := heatherhub.CheckName("header "+HeaderRequestID, req.ID); err != nil {
		req.ID = heatherhub.RequestID(uuid.NewString())
		return req, 0, err
	}
	workload, err := h.workload(id)
	if err != nil {
		return req, 0, err
	}
	if err := checkIdempotencyKey(workload, req.Key); err != nil {
		return req, 0, err
	}
	timeout, err := readDeadline(r, workload)
	if err != nil {
		return req, 0, err
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return req, 0, heatherhub.ErrInvalid.Wrap(err, "the connection is closed: send the request again")
	}
	req.Body, err = readBody(w, r, h.cfg.MaxBody)
	return req, timeout, err
}

// workload returns the declaration of a service. It returns heatherhub.ErrUnavailable if
// this host has no configuration, and heatherhub.ErrNotFound if the service is not declared.
func (h *Handler) workload(id heatherhub.WorkloadID) (*heatherhub.Workload, error) {
	s := h.cfg.Directory.Snapshot()
	if s == nil {
		err := heatherhub.ErrUnavailable.New("this host has no configuration yet: retry later")
		return nil, heatherhub.WithRetryAfter(err, overloadRetryAfter)
	}
	w := s.Workload(id)
	if w == nil || w.Kind != heatherhub.KindService {
		return nil, heatherhub.ErrNotFound.New("service %q is not declared: list the services with: heatherhub workload list", id)
	}
	return w, nil
}

// checkIdempotencyKey returns an error if the key is malformed, or missing although the
// service is not idempotent.
func checkIdempotencyKey(w *heatherhub.Workload, key heatherhub.IdempotencyKey) error {
	if key == "" {
		if w.Idempotent {
			return nil
		}
		return heatherhub.ErrInvalid.New("service %q is not idempotent: send an %s header, the same one on every retry", w.ID, HeaderKey)
	}
	return heatherhub.CheckName("header "+HeaderKey, key)
}

// readDeadline returns the time until the deadline from the request header, or the
// deadline of the service if there is no header.
func readDeadline(r *http.Request, w *heatherhub.Workload) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return w.Deadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > MaxDeadline.Milliseconds() {
		return 0, heatherhub.ErrInvalid.New("header %s %q is not within 1 to %d: send the milliseconds that are left", HeaderDeadline, text, MaxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// errBodyTooLarge is the type of errors for a body above Config.MaxBody. StatusOf returns
// 413 for it.
var errBodyTooLarge = heatherhub.ErrInvalid.NewSubtype("bodyTooLarge")

// readBody reads the body, up to limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := inbound.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errBodyTooLarge.New("the body is larger than %d bytes: send a smaller one", limit)
	}
	if err != nil {
		return nil, heatherhub.ErrInvalid.New("the body is incomplete: send it again")
	}
	// What arrives later belongs to another request.
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, heatherhub.ErrInvalid.Wrap(err, "the connection is closed: send the request again")
	}
	return body, nil
}

// callerName returns the name by which fair queueing tells callers apart: the one in the
// header, cut to heatherhub.MaxNameLength bytes, or else the caller's IP address.
func callerName(r *http.Request) string {
	if name := r.Header.Get(HeaderCaller); name != "" {
		return name[:min(len(name), heatherhub.MaxNameLength)]
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
