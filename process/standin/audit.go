package standin

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/julienschmidt/httprouter"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/platform"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/connection/worker"
	"heatherhub.example/heatherhub/process/standin/model"
)

// AuditReply is the answer to GET /audit.
type AuditReply struct {
	// IsClean reports whether the audit found no violation.
	IsClean bool         `json:"isClean"`
	Report  model.Report `json:"report"`
	// Store counts the calls of the key-value service.
	Store memory.Counts `json:"store"`
}

// WorkerView is the current state of one worker, without the lag of the host
// list.
type WorkerView struct {
	Host     hostlist.Host       `json:"host"`
	IsDead   bool                `json:"isDead"`
	IsFrozen bool                `json:"isFrozen"`
	Tasks    []worker.TaskStatus `json:"tasks"`
}

// Histories returns the histories of all workers up to the present, in order of
// worker id.
func (s *Standin) Histories() []model.History {
	var histories []model.History
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		w := s.workers[id].model
		w.Advance(s.clock.Now())
		histories = append(histories, w.History())
	}
	return histories
}

// Audit checks the histories of all workers for violations. Requests of the
// idempotent workloads may run more than once.
func (s *Standin) Audit(idempotent ...heatherhub.WorkloadID) AuditReply {
	r := model.Audit(s.Histories(), idempotent...)
	return AuditReply{IsClean: r.IsClean(), Report: r, Store: s.store.Counts()}
}

func (s *Standin) handleAudit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var idempotent []heatherhub.WorkloadID
	for _, id := range r.URL.Query()["idempotent"] {
		idempotent = append(idempotent, heatherhub.WorkloadID(id))
	}
	platform.WriteResponse(w, platform.JSON, s.Audit(idempotent...))
}

func (s *Standin) handleWorkers(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	var views []WorkerView
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		m := s.workers[id].model
		views = append(views, WorkerView{
			Host: s.workers[id].host, IsDead: m.IsDead(), IsFrozen: m.IsFrozen(), Tasks: m.Tasks(s.clock.Now()),
		})
	}
	platform.WriteResponse(w, platform.JSON, views)
}

// unmarshalStrict decodes JSON and rejects unknown fields.
func unmarshalStrict(data []byte, out any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(out)
}
