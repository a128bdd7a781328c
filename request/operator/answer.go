package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/operatorapi"
)

// statusByCode has the HTTP status of each error code.
var statusByCode = map[heatherhub.Code]int{
	heatherhub.CodeInvalid:     http.StatusBadRequest,
	heatherhub.CodeDenied:      http.StatusUnauthorized,
	heatherhub.CodeNotFound:    http.StatusNotFound,
	heatherhub.CodeConflict:    http.StatusConflict,
	heatherhub.CodeNotRun:      http.StatusServiceUnavailable,
	heatherhub.CodeUnavailable: http.StatusServiceUnavailable,
	heatherhub.CodeNotOwner:    http.StatusServiceUnavailable,
	heatherhub.CodeUnknown:     http.StatusBadGateway,
}

// errorHandler returns a handler that responds to every request with err.
func errorHandler(err error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeError(w, err) })
}

// writeError writes err as an operatorapi.Error. A 503 always has a retry delay, of one
// second if err has none.
func writeError(w http.ResponseWriter, err error) {
	code := heatherhub.CodeOf(err)
	status := statusByCode[code]
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		code, status = heatherhub.CodeInvalid, http.StatusRequestEntityTooLarge
		err = heatherhub.ErrInvalid.New("the body is larger than %d bytes: send a smaller one", tooLarge.Limit)
	}
	wait := heatherhub.RetryAfter(err)
	if status == http.StatusServiceUnavailable && wait <= 0 {
		wait = time.Second
	}
	if wait > 0 {
		// The header has whole seconds: round up.
		w.Header().Set("Retry-After", strconv.Itoa(int((wait+time.Second-1)/time.Second)))
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, status, operatorapi.Error{Code: code, Message: heatherhub.Message(err), RetryAfterMs: wait.Milliseconds()})
}

// writeJSON writes v as the response. If v cannot be encoded, it responds with status 500.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"code":"unknown","message":"cannot encode the response: report this as a bug"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// If the write fails, the client can no longer be reached.
	_, _ = w.Write(data)
}

// decode reads the body as a single JSON value without unknown fields. It returns
// heatherhub.ErrInvalid, or an *http.MaxBytesError if the body is too large.
func decode[T any](r *http.Request) (T, error) {
	var v T
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return v, err
		}
		return v, heatherhub.ErrInvalid.New("invalid body: %s: send the JSON of the operator protocol", err)
	}
	if d.More() {
		return v, heatherhub.ErrInvalid.New("the body has data after its JSON value: send a single value")
	}
	return v, nil
}
