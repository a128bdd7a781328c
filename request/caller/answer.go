package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeAnswered means that the body is the complete answer of the replica to this
	// request.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Outcome Outcome         `json:"outcome"`
	Code    heatherhub.Code `json:"code"`
	// Message says what is wrong and what to do about it.
	Message      string `json:"message"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
}

// outcomeOf returns the outcome of a request that ended with err.
func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeAnswered
	case heatherhub.DidNotRun(err):
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

// StatusOf returns the HTTP status of an error.
func StatusOf(err error) int {
	if errorx.IsOfType(err, errBodyTooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	switch heatherhub.CodeOf(err) {
	case heatherhub.CodeOK:
		return http.StatusOK
	case heatherhub.CodeInvalid:
		return http.StatusBadRequest
	case heatherhub.CodeNotFound:
		return http.StatusNotFound
	case heatherhub.CodeDenied:
		return http.StatusForbidden
	case heatherhub.CodeConflict:
		return http.StatusConflict
	case heatherhub.CodeNotRun:
		return http.StatusTooManyRequests
	case heatherhub.CodeUnavailable, heatherhub.CodeNotOwner:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// writeAnswer writes the answer of a replica. A status outside of 200 to 599 becomes 200.
func writeAnswer(w http.ResponseWriter, a worker.Answer) {
	header := w.Header()
	header.Set(HeaderOutcome, string(OutcomeAnswered))
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	setRetryAfter(header, a.RetryAfter)
	status := a.Status
	if status < http.StatusOK || status > 599 {
		status = http.StatusOK
	}
	w.WriteHeader(status)
	_, _ = w.Write(a.Body)
}

// writeError writes err as an ErrorBody. A 429 or 503 always has a retry delay.
func writeError(w http.ResponseWriter, err error) {
	wait := heatherhub.RetryAfter(err)
	status := StatusOf(err)
	if wait <= 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		wait = defaultRetryAfter
	}
	body := ErrorBody{
		Outcome:      outcomeOf(err),
		Code:         heatherhub.CodeOf(err),
		Message:      heatherhub.Message(err),
		RetryAfterMs: wait.Milliseconds(),
	}
	data, _ := json.Marshal(body)
	header := w.Header()
	header.Set(HeaderOutcome, string(body.Outcome))
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)+1))
	setRetryAfter(header, wait)
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// defaultRetryAfter is the retry delay of a refusal whose error has none.
const defaultRetryAfter = time.Second

// setRetryAfter sets the header Retry-After if d is positive. It rounds up to whole
// seconds, the unit of the header.
func setRetryAfter(h http.Header, d time.Duration) {
	if d > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	}
}
