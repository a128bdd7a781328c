package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/platform"
	"heatherhub.example/heatherhub/connection/store/memory"
)

// maxFaultsBytes is the largest body of POST /faults.
const maxFaultsBytes = 1_000_000

// Faults is the body of POST /faults. Fields that are absent leave their faults
// unchanged.
type Faults struct {
	Store    *StoreFaults    `json:"store,omitempty"`
	HostList *HostListFaults `json:"hostList,omitempty"`
	Workers  []WorkerFault   `json:"workers,omitempty"`
	// Partition lists the failure domains that are cut off from the platform and
	// from other domains; an empty list ends the partition.
	Partition *[]heatherhub.FailureDomain `json:"partition,omitempty"`
}

// StoreFaults replaces all faults of the store.
type StoreFaults struct {
	Down bool `json:"down"`
	// SlowMs delays every call by this many milliseconds.
	SlowMs int64 `json:"slowMs"`
	// LoseAnswers is the probability, 0 to 1, that an answer is lost after the
	// call took effect.
	LoseAnswers float64 `json:"loseAnswers"`
	// LoseEvery loses the answer of every n-th write; 0 loses none.
	LoseEvery int `json:"loseEvery"`
}

// HostListFaults replaces all faults of the host list.
type HostListFaults struct {
	Down bool `json:"down"`
	// LagMs is the age of the list that readers get, in milliseconds.
	LagMs int64 `json:"lagMs"`
}

// Action starts or ends a fault of a worker.
type Action string

// Actions on workers.
const (
	// ActionKill stops a worker; ActionRevive restarts it without tasks.
	ActionKill   Action = "kill"
	ActionRevive Action = "revive"
	// ActionFreeze pauses a worker and its connections; ActionThaw resumes both.
	ActionFreeze Action = "freeze"
	ActionThaw   Action = "thaw"
	// ActionBad makes a worker fail every task that it starts; ActionGood ends
	// that.
	ActionBad  Action = "bad"
	ActionGood Action = "good"
	// ActionSilence makes the open connections drop all data; new ones work.
	ActionSilence Action = "silence"
	// ActionLeave lists the worker as leaving; ActionReturn lists it as live.
	ActionLeave  Action = "leave"
	ActionReturn Action = "return"
)

// WorkerFault applies an action to one worker.
type WorkerFault struct {
	ID     heatherhub.WorkerID `json:"id"`
	Action Action              `json:"action"`
}

// UnmarshalJSON decodes and validates faults. Unknown fields are an error.
func (f *Faults) UnmarshalJSON(data []byte) error {
	type wire Faults
	var w wire
	if err := unmarshalStrict(data, &w); err != nil {
		return err
	}
	next := Faults(w)
	if err := next.Check(); err != nil {
		return err
	}
	*f = next
	return nil
}

// Check returns ErrInvalid for the first value out of range.
func (f *Faults) Check() error {
	if s := f.Store; s != nil && (s.SlowMs < 0 || s.LoseEvery < 0 || s.LoseAnswers < 0 || s.LoseAnswers > 1) {
		return heatherhub.ErrInvalid.New("store: slowMs and loseEvery must be 0 or more, loseAnswers must be 0 to 1")
	}
	if h := f.HostList; h != nil && h.LagMs < 0 {
		return heatherhub.ErrInvalid.New("hostList: lagMs must be 0 or more")
	}
	return nil
}

// ApplyFaults switches the faults. On an error, the faults before it stay
// switched.
func (s *Standin) ApplyFaults(f Faults) error {
	if f.Store != nil {
		s.store.SetFaults(memory.Faults{
			Down:        f.Store.Down,
			Slow:        time.Duration(f.Store.SlowMs) * time.Millisecond,
			LoseAnswers: f.Store.LoseAnswers,
			LoseEvery:   f.Store.LoseEvery,
		})
	}
	if f.HostList != nil {
		s.hosts.SetDown(f.HostList.Down)
		s.hosts.SetLag(time.Duration(f.HostList.LagMs) * time.Millisecond)
	}
	if f.Partition != nil {
		s.partition.setDomains(*f.Partition)
	}
	for _, w := range f.Workers {
		if err := s.applyWorkerFault(w); err != nil {
			return err
		}
	}
	return nil
}

func (s *Standin) applyWorkerFault(f WorkerFault) error {
	w, ok := s.workers[f.ID]
	if !ok {
		return heatherhub.ErrNotFound.New("no worker %s: see GET /workers", f.ID)
	}
	switch f.Action {
	case ActionKill:
		w.kill()
	case ActionRevive:
		return w.revive()
	case ActionFreeze:
		w.freeze()
	case ActionThaw:
		w.thaw()
	case ActionBad, ActionGood:
		w.model.SetFailTasks(f.Action == ActionBad)
	case ActionSilence:
		w.connFaults.silenceOpen()
	case ActionLeave:
		s.setHostState(w, hostlist.StateLeaving)
	case ActionReturn:
		s.setHostState(w, hostlist.StateLive)
	default:
		return heatherhub.ErrInvalid.New("worker %s: action %q is unknown: use kill, revive, freeze, thaw, bad, good, silence, leave or return", f.ID, f.Action)
	}
	return nil
}

func (s *Standin) setHostState(w *workerServer, state hostlist.State) {
	h := w.host
	h.State = state
	s.hosts.Put(h)
}

func (s *Standin) handleFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if err := platform.ReadRequest(w, r, platform.JSON, maxFaultsBytes, &f); err != nil {
		platform.WriteError(w, err)
		return
	}
	if err := s.ApplyFaults(f); err != nil {
		platform.WriteError(w, err)
		return
	}
	text, _ := json.Marshal(f)
	s.cfg.Log.Info("faults switched", zap.ByteString("faults", text))
	platform.WriteResponse(w, platform.JSON, struct{}{})
}
