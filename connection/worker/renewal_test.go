package worker_test

import (
	"context"
	"net/http"
	"reflect"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/platform"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin/model"
)

// renewalTest is a client with a model worker that counts full, compact and stale
// answers.
type renewalTest struct {
	t             *testing.T
	client        *worker.Client
	model         *model.Worker
	now           time.Time
	full, compact int
	stale         int
	// loseAnswer drops the connection in place of the next answer.
	loseAnswer bool
}

func newRenewalTest(t *testing.T) *renewalTest {
	r := &renewalTest{t: t, now: time.Unix(1_900_000_000, 0)}
	r.model = model.New(model.Config{Host: hostlist.Host{ID: "w", Capacity: heatherhub.Resources{CPU: 30_000, Memory: 1000}}})
	r.client = newClient(t, platform.ProtocolHTTP2, func(w http.ResponseWriter, h *http.Request) {
		var c worker.RenewCall
		if err := platform.ReadRequest(w, h, platform.Msgpack, worker.MaxCommandBytes, &c); err != nil {
			platform.WriteError(w, err)
			return
		}
		reply, err := worker.HandleRenewal(c, r.model.Tasks(r.now), func(c worker.RenewCommand) (worker.Report, error) {
			return r.model.Renew(r.now, c)
		})
		switch {
		case err != nil:
			platform.WriteError(w, err)
			return
		case r.loseAnswer:
			r.loseAnswer = false
			panic(http.ErrAbortHandler)
		case reply.Stale:
			r.stale++
		case reply.Report != nil:
			r.full++
		default:
			r.compact++
		}
		platform.WriteResponse(w, platform.Msgpack, reply)
	})
	return r
}

func (r *renewalTest) start(id heatherhub.TaskID) {
	r.t.Helper()
	task := heatherhub.Task{
		ID: id, Workload: "letters", Kind: heatherhub.KindBatch, Class: "render",
		Size: heatherhub.Resources{CPU: 1000, Memory: 10}, RunTime: time.Hour, Queued: r.now,
	}
	cmd := worker.StartCommand{Task: task, Epoch: 1, LeaseUntil: r.now.Add(worker.TaskLease)}
	if err := r.model.Start(r.now, cmd); err != nil {
		r.t.Fatal(err)
	}
}

// renew renews through the client and checks that its report equals the worker's.
func (r *renewalTest) renew(c worker.RenewCommand) {
	r.t.Helper()
	r.now = r.now.Add(worker.RenewInterval)
	c.LeaseUntil = r.now.Add(worker.TaskLease)
	got, err := r.client.Renew(context.Background(), "w", c)
	if err != nil {
		r.t.Fatal(err)
	}
	want, err := r.model.Renew(r.now, worker.RenewCommand{})
	if err != nil {
		r.t.Fatal(err)
	}
	utc(&got)
	utc(&want)
	if !reflect.DeepEqual(got, want) {
		r.t.Errorf("report: got %+v, want %+v", got, want)
	}
}

// utc removes the time zone, which is not encoded.
func utc(r *worker.Report) {
	r.Usage.At = r.Usage.At.UTC()
	for i := range r.Tasks {
		t := &r.Tasks[i]
		t.LeaseUntil, t.Started, t.Task.Queued = t.LeaseUntil.UTC(), t.Started.UTC(), t.Task.Queued.UTC()
		t.Task.Due = t.Task.Due.UTC()
	}
}

func (r *renewalTest) wantCounts(full, compact, stale int) {
	r.t.Helper()
	if r.full != full || r.compact != compact || r.stale != stale {
		r.t.Errorf("answers: got %d full, %d compact, %d stale, want %d, %d, %d", r.full, r.compact, r.stale, full, compact, stale)
	}
}

func TestRenewalIsCompactWhileNothingChanges(t *testing.T) {
	r := newRenewalTest(t)
	r.start("a")
	r.start("b")
	both := worker.RenewCommand{Epoch: 1, Tasks: []heatherhub.TaskID{"b", "a"}}
	r.renew(both)
	r.renew(both)
	r.renew(both)
	r.wantCounts(1, 2, 0)
	for _, s := range r.model.Tasks(r.now) {
		if got, want := s.LeaseUntil, r.now.Add(worker.TaskLease); !got.Equal(want) {
			t.Errorf("lease of %s: got %s, want %s", s.Task.ID, got, want)
		}
	}
}

func TestRenewalAfterAChangeIsFull(t *testing.T) {
	r := newRenewalTest(t)
	r.start("a")
	one := worker.RenewCommand{Epoch: 1, Tasks: []heatherhub.TaskID{"a"}}
	r.renew(one)
	r.start("b")
	r.renew(one)
	r.wantCounts(2, 0, 1)
	for _, s := range r.model.Tasks(r.now) {
		got, want := s.LeaseUntil.Equal(r.now.Add(worker.TaskLease)), s.Task.ID == "a"
		if got != want {
			t.Errorf("task %s: got renewed %v, want %v", s.Task.ID, got, want)
		}
	}
}

func TestRenewalOfSomeTasksListsThem(t *testing.T) {
	r := newRenewalTest(t)
	r.start("a")
	r.start("b")
	r.renew(worker.RenewCommand{Epoch: 1, Tasks: []heatherhub.TaskID{"a", "b"}})
	r.renew(worker.RenewCommand{Epoch: 1, Tasks: []heatherhub.TaskID{"a"}})
	r.wantCounts(2, 0, 0)
	r.renew(worker.RenewCommand{Epoch: 2, Tasks: []heatherhub.TaskID{"a", "b"}})
	r.wantCounts(3, 0, 0)
	if err := r.model.Stop(r.now, "a"); err != nil {
		t.Fatal(err)
	}
	r.renew(worker.RenewCommand{Epoch: 2, Tasks: []heatherhub.TaskID{"a", "b"}, Confirmed: []heatherhub.TaskID{"a"}})
	r.wantCounts(4, 0, 0)
}

func TestRenewalAfterALostAnswerIsFull(t *testing.T) {
	r := newRenewalTest(t)
	r.start("a")
	one := worker.RenewCommand{Epoch: 1, Tasks: []heatherhub.TaskID{"a"}}
	r.renew(one)
	r.loseAnswer = true
	long := one
	long.LeaseUntil = r.now.Add(time.Hour)
	_, err := r.client.Renew(t.Context(), "w", long)
	wantCode(t, "renewal with a lost answer", err, heatherhub.CodeUnknown)
	r.renew(one)
	r.wantCounts(2, 0, 0)
	r.renew(one)
	r.wantCounts(2, 1, 0)
}
