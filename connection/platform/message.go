package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
)

// HeaderCode is the header with the error code of a response. Its presence shows that
// the error comes from the service itself rather than from a proxy.
const HeaderCode = "Heatherhub-Code"

// Codec encodes and decodes the bodies of requests and responses.
type Codec struct {
	contentType string
	marshal     func(any) ([]byte, error)
	unmarshal   func([]byte, any) error
}

// Codecs that the services use.
var (
	JSON    = Codec{contentType: "application/json", marshal: json.Marshal, unmarshal: unmarshalJSON}
	Msgpack = Codec{contentType: "application/msgpack", marshal: marshalMsgpack, unmarshal: heatherhub.Unmarshal}
)

// marshalMsgpack encodes v with compact integers.
func marshalMsgpack(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// unmarshalJSON rejects null, which json.Unmarshal would decode as an empty value that
// no check has seen.
func unmarshalJSON(body []byte, out any) error {
	if bytes.Equal(bytes.TrimSpace(body), []byte("null")) {
		return heatherhub.ErrInvalid.New("the body is null: send a JSON value")
	}
	return json.Unmarshal(body, out)
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Code    heatherhub.Code `json:"code"`
	Message string          `json:"message"`
	// RetryAfterMs is the time to wait before a retry, in milliseconds; zero if the
	// service names none.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// Err returns the error of a response, or nil. It returns ErrUnknown for an error status
// without a valid error body, which does not show whether the request took effect.
func (r *Response) Err() error {
	code := heatherhub.Code(r.Header.Get(HeaderCode))
	if code == heatherhub.CodeOK && r.Status < http.StatusMultipleChoices {
		return nil
	}
	var body ErrorBody
	if err := json.Unmarshal(r.Body, &body); err != nil || code == heatherhub.CodeOK || body.Code != code {
		return heatherhub.ErrUnknown.New("status %d without a protocol error body: check the address", r.Status)
	}
	return heatherhub.ErrorFromCode(body.Code, body.Message, time.Duration(body.RetryAfterMs)*time.Millisecond)
}

var statusByCode = map[heatherhub.Code]int{
	heatherhub.CodeInvalid:     http.StatusBadRequest,
	heatherhub.CodeNotRun:      http.StatusTooManyRequests,
	heatherhub.CodeUnknown:     http.StatusGatewayTimeout,
	heatherhub.CodeConflict:    http.StatusConflict,
	heatherhub.CodeNotFound:    http.StatusNotFound,
	heatherhub.CodeUnavailable: http.StatusServiceUnavailable,
	heatherhub.CodeNotOwner:    http.StatusServiceUnavailable,
	heatherhub.CodeDenied:      http.StatusForbidden,
}

// WriteError sends an error response with the code, message and retry time of err.
func WriteError(w http.ResponseWriter, err error) {
	body := ErrorBody{
		Code:         heatherhub.CodeOf(err),
		Message:      heatherhub.Message(err),
		RetryAfterMs: heatherhub.RetryAfter(err).Milliseconds(),
	}
	w.Header().Set(HeaderCode, string(body.Code))
	writeBody(w, JSON, statusByCode[body.Code], body)
}

// WriteResponse sends a value with status 200.
func WriteResponse(w http.ResponseWriter, codec Codec, value any) {
	writeBody(w, codec, http.StatusOK, value)
}

func writeBody(w http.ResponseWriter, codec Codec, status int, value any) {
	body, err := codec.marshal(value)
	if err != nil {
		http.Error(w, "cannot encode the response", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", codec.contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// ReadRequest decodes a request body of at most limit bytes into out. Its error is
// ErrInvalid.
func ReadRequest(w http.ResponseWriter, r *http.Request, codec Codec, limit int64, out any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return heatherhub.ErrInvalid.Wrap(err, "cannot read the request body: send at most %d bytes", limit)
	}
	if err := codec.unmarshal(body, out); err != nil {
		return heatherhub.ErrInvalid.Wrap(err, "cannot decode the request body: check that it is %s", codec.contentType)
	}
	return nil
}
