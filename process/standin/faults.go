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

const maxFaultsBytes = 1_000_000

// Faults switches faults. What is left out stays as it is.
type Faults struct {
	Store    *StoreFaults    `json:"store,omitempty"`
	HostList *HostListFaults `json:"hostList,omitempty"`
	Workers  []WorkerFault   `json:"workers,omitempty"`
	// Partition lists the failure domains that are cut off; an empty list heals.
	Partition *[]heatherhub.FailureDomain `json:"partition,omitempty"`
}

// StoreFaults replaces the faults of the store.
type StoreFaults struct {
	Down        bool    `json:"down"`
	SlowMs      int64   `json:"slowMs"`
	LoseAnswers float64 `json:"loseAnswers"`
	LoseEvery   int     `json:"loseEvery"`
}

// HostListFaults replaces the faults of the host list.
type HostListFaults struct {
	Down  bool  `json:"down"`
	LagMs int64 `json:"lagMs"`
}

// Action is what is done to a worker.
type Action string

// Actions on workers.
const (
	// ActionKill ends a worker, ActionRevive starts it again without tasks.
	ActionKill   Action = "kill"
	ActionRevive Action = "revive"
	// ActionFreeze pauses a worker with its connections, ActionThaw goes on.
	ActionFreeze Action = "freeze"
	ActionThaw   Action = "thaw"
	// ActionBad makes a worker fail all it starts, ActionGood ends that.
	ActionBad  Action = "bad"
	ActionGood Action = "good"
	// ActionSilence makes the open connections lose everything; new ones work.
	ActionSilence Action = "silence"
	// ActionLeave lists the worker as leaving, ActionReturn as live.
	ActionLeave  Action = "leave"
	ActionReturn Action = "return"
)

// WorkerFault acts on one worker.
type WorkerFault struct {
	ID     heatherhub.WorkerID `json:"id"`
	Action Action              `json:"action"`
}

// UnmarshalJSON decodes faults and refuses fields that it does not know.
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

// Check reports the first error.
func (f *Faults) Check() error {
	if s := f.Store; s != nil && (s.SlowMs < 0 || s.LoseEvery < 0 || s.LoseAnswers < 0 || s.LoseAnswers > 1) {
		return heatherhub.ErrInvalid.New("store: slowMs and loseEvery are 0 or more, loseAnswers is 0 to 1")
	}
	if h := f.HostList; h != nil && h.LagMs < 0 {
		return heatherhub.ErrInvalid.New("hostList: lagMs is 0 or more")
	}
	return nil
}

// ApplyFaults switches faults. Faults before the first error are switched.
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
	if err := platform.Read(w, r, platform.JSON, maxFaultsBytes, &f); err != nil {
		platform.WriteError(w, err)
		return
	}
	if err := s.ApplyFaults(f); err != nil {
		platform.WriteError(w, err)
		return
	}
	text, _ := json.Marshal(f)
	s.cfg.Log.Info("faults switched", zap.ByteString("faults", text))
	platform.Write(w, platform.JSON, struct{}{})
}
