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

// HeaderCode has the code of an error that the service itself answered.
const HeaderCode = "Heatherhub-Code"

// Codec encodes the bodies of calls.
type Codec struct {
	contentType string
	marshal     func(any) ([]byte, error)
	unmarshal   func([]byte, any) error
}

// Codecs of the services.
var (
	JSON    = Codec{contentType: "application/json", marshal: json.Marshal, unmarshal: unmarshalJSON}
	Msgpack = Codec{contentType: "application/msgpack", marshal: marshalMsgpack, unmarshal: heatherhub.Unmarshal}
)

// marshalMsgpack writes each number in as few bytes as it needs.
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

// unmarshalJSON refuses null: it would pass by every check and read as an empty
// value.
func unmarshalJSON(body []byte, out any) error {
	if bytes.Equal(bytes.TrimSpace(body), []byte("null")) {
		return heatherhub.ErrInvalid.New("the body is null: send a value")
	}
	return json.Unmarshal(body, out)
}

// ErrorBody is the JSON body of every error.
type ErrorBody struct {
	Code    heatherhub.Code `json:"code"`
	Message string          `json:"message"`
	// RetryAfterMs asks the caller to wait, in milliseconds.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// Err returns the error of an answer, or nil. An answer with a bad status that
// is none of the protocol proves nothing.
func (r *Response) Err() error {
	code := heatherhub.Code(r.Header.Get(HeaderCode))
	if code == heatherhub.CodeOK && r.Status < http.StatusMultipleChoices {
		return nil
	}
	var body ErrorBody
	if err := json.Unmarshal(r.Body, &body); err != nil || code == heatherhub.CodeOK || body.Code != code {
		return heatherhub.ErrUnknown.New("status %d without an error of the protocol: check the address", r.Status)
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

// WriteError answers a call with an error.
func WriteError(w http.ResponseWriter, err error) {
	body := ErrorBody{
		Code:         heatherhub.CodeOf(err),
		Message:      heatherhub.Message(err),
		RetryAfterMs: heatherhub.RetryAfter(err).Milliseconds(),
	}
	w.Header().Set(HeaderCode, string(body.Code))
	write(w, JSON, statusByCode[body.Code], body)
}

// WriteResponse answers a call with a value.
func WriteResponse(w http.ResponseWriter, codec Codec, value any) {
	write(w, codec, http.StatusOK, value)
}

func write(w http.ResponseWriter, codec Codec, status int, value any) {
	body, err := codec.marshal(value)
	if err != nil {
		http.Error(w, "cannot encode the answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", codec.contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// ReadRequest decodes the body of a call of at most limit bytes.
func ReadRequest(w http.ResponseWriter, r *http.Request, codec Codec, limit int64, out any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return heatherhub.ErrInvalid.Wrap(err, "cannot read the call: send at most %d bytes", limit)
	}
	if err := codec.unmarshal(body, out); err != nil {
		return heatherhub.ErrInvalid.Wrap(err, "cannot decode the call: check that it is %s", codec.contentType)
	}
	return nil
}
