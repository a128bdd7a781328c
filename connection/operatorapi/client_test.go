package operatorapi_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/operatorapi"
)

// TestLostAnswerStaysUnknown guards against reporting that a change failed when only
// its repetition did: the answer to the first attempt is lost, and want is the outcome
// for each code of the second.
func TestLostAnswerStaysUnknown(t *testing.T) {
	cases := []struct {
		second heatherhub.Code
		want   heatherhub.Code
	}{
		{heatherhub.CodeOK, heatherhub.CodeOK},
		{heatherhub.CodeUnavailable, heatherhub.CodeUnknown},
		{heatherhub.CodeNotOwner, heatherhub.CodeUnknown},
		{heatherhub.CodeConflict, heatherhub.CodeConflict},
		{heatherhub.CodeInvalid, heatherhub.CodeInvalid},
	}
	for _, c := range cases {
		t.Run(string(c.second), func(t *testing.T) {
			var calls atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) == 1 {
					panic(http.ErrAbortHandler)
				}
				if c.second == heatherhub.CodeOK {
					_ = json.NewEncoder(w).Encode(operatorapi.JobView{})
					return
				}
				w.WriteHeader(http.StatusServiceUnavailable)
				_ = json.NewEncoder(w).Encode(operatorapi.Error{Code: c.second, Message: "second"})
			}))
			defer s.Close()
			client, err := operatorapi.NewClient(operatorapi.Config{Address: s.URL})
			if err != nil {
				t.Fatal(err)
			}
			_, err = client.AddJob(t.Context(), operatorapi.JobRequest{})
			if got := heatherhub.CodeOf(err); got != c.want {
				t.Errorf("got %q (%v), want %q", got, err, c.want)
			}
		})
	}
}
