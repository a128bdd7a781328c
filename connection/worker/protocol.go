package worker

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherhub.example/heatherhub"
)

// Paths of the HTTP protocol. All take POST. Bodies are msgpack, except for PathServe,
// whose body is the caller's and whose parameters are headers.
const (
	PathStart      = "/tasks/start"
	PathRenew      = "/tasks/renew"
	PathCheckpoint = "/tasks/checkpoint"
	PathThrottle   = "/tasks/throttle"
	PathStop       = "/tasks/stop"
	PathServe      = "/serve"
)

// Headers of PathServe. The answer repeats HeaderRequest.
const (
	HeaderRequest    = "Heatherhub-Request"
	HeaderWorkload   = "Heatherhub-Workload"
	HeaderTask       = "Heatherhub-Task"
	HeaderKey        = "Heatherhub-Key"
	HeaderTimeout    = "Heatherhub-Timeout-Ms"
	HeaderDigest     = "Heatherhub-Digest"
	HeaderRetryAfter = "Heatherhub-Retry-After-Ms"
)

const (
	// MaxCommandBytes is the largest body of a command.
	MaxCommandBytes = 4_000_000
	// MaxRequestBytes is the largest body of a caller's request and of its answer.
	MaxRequestBytes = 8_000_000
)

// TaskCall is the body of PathCheckpoint and PathStop.
type TaskCall struct {
	Task heatherhub.TaskID `msgpack:"task"`
}

// ThrottleCall is the body of PathThrottle.
type ThrottleCall struct {
	Task  heatherhub.TaskID  `msgpack:"task"`
	Share heatherhub.Percent `msgpack:"share"`
}

// CheckpointReply is the answer of PathCheckpoint.
type CheckpointReply struct {
	Checkpoint heatherhub.CheckpointRef `msgpack:"checkpoint"`
}

// Digest returns the xxhash digest of an answer's body.
func Digest(body []byte) uint64 {
	return xxhash.Sum64(body)
}

// Check returns the first invalid field of a request as ErrInvalid.
func (r *Request) Check() error {
	if err := heatherhub.CheckName("request id", r.ID); err != nil {
		return err
	}
	if err := heatherhub.CheckName("workload", r.Workload); err != nil {
		return err
	}
	if err := heatherhub.CheckName("task", r.Task); err != nil {
		return err
	}
	if r.Timeout < 0 {
		return heatherhub.ErrInvalid.New("request %s: timeout %s is negative: send the time left until the deadline", r.ID, r.Timeout)
	}
	return nil
}

// header returns the headers of PathServe for a request.
func (r *Request) header() http.Header {
	h := make(http.Header, 8)
	h.Set(HeaderRequest, string(r.ID))
	h.Set(HeaderWorkload, string(r.Workload))
	h.Set(HeaderTask, string(r.Task))
	if r.Key != "" {
		h.Set(HeaderKey, string(r.Key))
	}
	if r.Timeout > 0 {
		h.Set(HeaderTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	}
	return h
}

// ReadRequest reads a request of PathServe and checks it. An invalid or incomplete one
// is ErrInvalid.
func ReadRequest(w http.ResponseWriter, h *http.Request) (Request, error) {
	r := Request{
		ID:       heatherhub.RequestID(h.Header.Get(HeaderRequest)),
		Workload: heatherhub.WorkloadID(h.Header.Get(HeaderWorkload)),
		Task:     heatherhub.TaskID(h.Header.Get(HeaderTask)),
		Key:      heatherhub.IdempotencyKey(h.Header.Get(HeaderKey)),
	}
	var err error
	if r.Timeout, err = parseMillis(h.Header, HeaderTimeout); err != nil {
		return Request{}, err
	}
	if err := r.Check(); err != nil {
		return Request{}, err
	}
	r.Body, err = io.ReadAll(http.MaxBytesReader(w, h.Body, MaxRequestBytes))
	if err != nil {
		return Request{}, heatherhub.ErrInvalid.Wrap(err, "the body of request %s is incomplete or has more than %d bytes", r.ID, MaxRequestBytes)
	}
	return r, nil
}

// WriteAnswer writes a replica's answer as the response of PathServe.
func WriteAnswer(w http.ResponseWriter, a Answer) {
	h := w.Header()
	h.Set(HeaderRequest, string(a.ID))
	h.Set(HeaderDigest, strconv.FormatUint(a.Digest, 16))
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	h.Set("Content-Type", "application/octet-stream")
	if a.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt(a.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// ReadAnswer reads the answer to a request from a response of PathServe. An answer to
// another request or an incomplete body is ErrUnknown.
func ReadAnswer(id heatherhub.RequestID, status int, h http.Header, body []byte) (Answer, error) {
	if got := heatherhub.RequestID(h.Get(HeaderRequest)); got != id {
		return Answer{}, heatherhub.ErrUnknown.New("request %s got the answer to %q: the request may have run", id, string(got))
	}
	digest, err := strconv.ParseUint(h.Get(HeaderDigest), 16, 64)
	if err != nil || digest != Digest(body) {
		return Answer{}, heatherhub.ErrUnknown.New("the answer to request %s is incomplete: the request may have run", id)
	}
	retryAfter, err := parseMillis(h, HeaderRetryAfter)
	if err != nil {
		retryAfter = 0
	}
	return Answer{ID: id, Status: status, Body: body, Digest: digest, RetryAfter: retryAfter}, nil
}

// maxHeaderMillis is the longest duration in a header: one day, in milliseconds.
const maxHeaderMillis = 86_400_000

// parseMillis returns a header with a duration in milliseconds; zero if it is absent.
func parseMillis(h http.Header, name string) (time.Duration, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > maxHeaderMillis {
		return 0, heatherhub.ErrInvalid.New("header %s %q: send milliseconds from 0 to %d", name, text, maxHeaderMillis)
	}
	return time.Duration(n) * time.Millisecond, nil
}
