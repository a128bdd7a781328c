package worker_test

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/worker"
)

func mustMarshal(f *testing.F, v any) []byte {
	f.Helper()
	data, err := msgpack.Marshal(v)
	if err != nil {
		f.Fatal(err)
	}
	return data
}

// FuzzCommands checks that decoded messages are valid and survive a round trip.
func FuzzCommands(f *testing.F) {
	lease := time.Unix(1_900_000_000, 0)
	task := heatherhub.Task{ID: "job:a:0", Workload: "letters", Kind: heatherhub.KindBatch, Size: heatherhub.Resources{CPU: 1000, Memory: 1}}
	f.Add(mustMarshal(f, worker.StartCommand{Task: task, Epoch: 3, LeaseUntil: lease}))
	f.Add(mustMarshal(f, worker.RenewCommand{Epoch: 3, LeaseUntil: lease, Tasks: []heatherhub.TaskID{"a", "b"}}))
	f.Add(mustMarshal(f, worker.Report{Tasks: []worker.TaskStatus{{Task: task, State: worker.TaskRunning}}}))
	f.Add(mustMarshal(f, worker.RenewCall{Command: worker.RenewCommand{Epoch: 3, LeaseUntil: lease}, KnownFingerprint: 7}))
	f.Add(mustMarshal(f, worker.RenewReply{Usage: &worker.PackedUsage{Worker: "w", At: lease, Tasks: []worker.PackedTaskUsage{{Index: 1, CPU: 3}}}}))
	f.Add([]byte{0x81, 0xa4, 't', 'a', 's', 'k', 0x81})
	f.Fuzz(func(t *testing.T, data []byte) {
		checkRound(t, data, func(c *worker.StartCommand) error { return c.Check() })
		checkRound(t, data, func(c *worker.RenewCommand) error { return c.Check() })
		checkRound(t, data, func(c *worker.RenewCall) error { return c.Command.Check() })
		checkRound(t, data, func(r *worker.RenewReply) error {
			if r.Report == nil {
				return nil
			}
			return r.Report.Check()
		})
		checkRound(t, data, func(r *worker.Report) error { return r.Check() })
	})
}

func checkRound[T any](t *testing.T, data []byte, check func(*T) error) {
	t.Helper()
	var first, second T
	if heatherhub.Unmarshal(data, &first) != nil {
		return
	}
	if err := check(&first); err != nil {
		t.Errorf("decoded message is not valid: got %v, want no error", err)
	}
	again, err := msgpack.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	if err := heatherhub.Unmarshal(again, &second); err != nil {
		t.Fatalf("round trip: got %v, want no error", err)
	}
	last, err := msgpack.Marshal(second)
	if err != nil || !reflect.DeepEqual(again, last) {
		t.Errorf("round trip: got %x and %v, want %x", last, err, again)
	}
}

// FuzzReadAnswer checks that ReadAnswer accepts an answer only if its id is that of the
// request and its digest that of the body.
func FuzzReadAnswer(f *testing.F) {
	f.Add("r1", "17", "", []byte("firmware"))
	f.Add("r1", strconv.FormatUint(worker.Digest([]byte("firmware")), 16), "1000", []byte("firmware"))
	f.Add("r2", strconv.FormatUint(worker.Digest(nil), 16), "-1", []byte{})
	f.Fuzz(func(t *testing.T, id, digest, retryAfter string, body []byte) {
		h := http.Header{}
		h.Set(worker.HeaderRequest, id)
		h.Set(worker.HeaderDigest, digest)
		h.Set(worker.HeaderRetryAfter, retryAfter)
		a, err := worker.ReadAnswer("r1", http.StatusOK, h, body)
		n, parseErr := strconv.ParseUint(digest, 16, 64)
		isComplete := id == "r1" && parseErr == nil && n == worker.Digest(body)
		if got, want := err == nil, isComplete; got != want {
			t.Errorf("answer %q with digest %q: got accepted %v (%v), want %v", id, digest, got, err, want)
		}
		if err == nil && (a.ID != "r1" || a.RetryAfter < 0) {
			t.Errorf("got %+v, want id r1 and no negative retry time", a)
		}
	})
}

// FuzzReadRequest checks that ReadRequest returns valid requests or ErrInvalid.
func FuzzReadRequest(f *testing.F) {
	f.Add("r1", "compile", "svc:compile:gent/0:1", "", "800")
	f.Add("", "compile", "a", "key", "-1")
	f.Add("r 1", "compile", "a", "key", "99999999999999999999")
	f.Fuzz(func(t *testing.T, id, workload, task, key, timeout string) {
		h := httptest.NewRequest(http.MethodPost, worker.PathServe, strings.NewReader("body"))
		h.Header.Set(worker.HeaderRequest, id)
		h.Header.Set(worker.HeaderWorkload, workload)
		h.Header.Set(worker.HeaderTask, task)
		h.Header.Set(worker.HeaderKey, key)
		h.Header.Set(worker.HeaderTimeout, timeout)
		r, err := worker.ReadRequest(httptest.NewRecorder(), h)
		if err != nil {
			if got, want := heatherhub.CodeOf(err), heatherhub.CodeInvalid; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			return
		}
		if err := r.Check(); err != nil || string(r.Body) != "body" {
			t.Errorf("got %+v and %v, want a valid request with its body", r, err)
		}
	})
}
