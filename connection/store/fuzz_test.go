package store_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/store"
)

// FuzzJSON checks that values decoded from the platform's HTTP services are valid and
// survive a round trip.
func FuzzJSON(f *testing.F) {
	f.Add([]byte(`{"key":"config/current","value":"djE=","expect":7,"lease":3}`))
	f.Add([]byte(`{"key":"config/current","value":"djE=","revision":7}`))
	f.Add([]byte(`{"key":"a","value":"djE=","delete":true}`))
	f.Add([]byte(`{"id":"gent-w000","role":"worker","domain":"gent","address":"127.0.0.1:9","state":"live","capacity":{"cpuMilli":1}}`))
	f.Add([]byte(`{"id":"gent-w000","role":"worker","domain":"gent","address":"127.0.0.1:9","state":"gone"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		checkRound(t, data, func(w *store.Write) error { return w.Check() })
		checkRound(t, data, func(e *store.Entry) error { return e.Check() })
		checkRound(t, data, func(h *hostlist.Host) error { return h.Check() })
	})
}

func checkRound[T any](t *testing.T, data []byte, check func(*T) error) {
	t.Helper()
	var first, second T
	if json.Unmarshal(data, &first) != nil {
		return
	}
	if err := check(&first); err != nil {
		t.Errorf("decoded value is not valid: got %v, want no error", err)
	}
	again, err := json.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(again, &second); err != nil {
		t.Fatalf("round trip: got %v, want no error", err)
	}
	if last, err := json.Marshal(second); err != nil || !bytes.Equal(again, last) {
		t.Errorf("round trip: got %s and %v, want %s", last, err, again)
	}
}
