package operator

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/operatorapi"
	"heatherhub.example/heatherhub/version/config"
)

// presetList is the response of GET /v1/presets.
type presetList struct {
	Version heatherhub.Version  `json:"version"`
	InForce heatherhub.PresetID `json:"inForce"`
	Presets []heatherhub.Preset `json:"presets"`
}

// workloadList is the response of GET /v1/workloads.
type workloadList struct {
	Version   heatherhub.Version    `json:"version"`
	Workloads []heatherhub.Workload `json:"workloads"`
}

func (a *api) snapshot(_ *http.Request, _ httprouter.Params) (any, error) {
	return a.cfg.Configuration.Current(), nil
}

// apply replaces the teams, workloads and presets. It keeps the preset that is in force, so
// that only switchPreset changes it, and sets one only if there was none.
func (a *api) apply(r *http.Request, _ httprouter.Params) (any, error) {
	req, err := decode[operatorapi.ApplyRequest](r)
	if err != nil {
		return nil, err
	}
	return a.edit(r, req.EditID, req.ExpectVersion, func(s *heatherhub.Snapshot) error {
		s.Teams = req.Snapshot.Teams
		s.Workloads = req.Snapshot.Workloads
		s.Presets = req.Snapshot.Presets
		if s.InForce == "" {
			s.InForce = req.Snapshot.InForce
		}
		return nil
	})
}

func (a *api) switchPreset(r *http.Request, params httprouter.Params) (any, error) {
	req, err := decode[operatorapi.SwitchRequest](r)
	if err != nil {
		return nil, err
	}
	id := heatherhub.PresetID(params.ByName("id"))
	return a.edit(r, req.EditID, req.ExpectVersion, func(s *heatherhub.Snapshot) error {
		if s.Preset(id) == nil {
			return noPreset(id)
		}
		s.InForce = id
		return nil
	})
}

// edit applies a change to the configuration. The edit id makes retries idempotent.
func (a *api) edit(r *http.Request, id string, expect heatherhub.Version, change func(*heatherhub.Snapshot) error) (any, error) {
	if err := heatherhub.CheckName("editId", id); err != nil {
		return nil, err
	}
	return a.cfg.Configuration.EditAs(r.Context(), config.EditID(id), expect, change)
}

func noPreset(id heatherhub.PresetID) error {
	return heatherhub.ErrNotFound.New("no preset %q: list them with heatherhub preset list", id)
}

func (a *api) presets(_ *http.Request, _ httprouter.Params) (any, error) {
	s := a.cfg.Configuration.Current()
	return presetList{Version: s.Version, InForce: s.InForce, Presets: s.Presets}, nil
}

func (a *api) preset(_ *http.Request, params httprouter.Params) (any, error) {
	id := heatherhub.PresetID(params.ByName("id"))
	preset := a.cfg.Configuration.Current().Preset(id)
	if preset == nil {
		return nil, noPreset(id)
	}
	return preset, nil
}

func (a *api) workloads(_ *http.Request, _ httprouter.Params) (any, error) {
	s := a.cfg.Configuration.Current()
	return workloadList{Version: s.Version, Workloads: s.Workloads}, nil
}

func (a *api) workload(_ *http.Request, params httprouter.Params) (any, error) {
	id := heatherhub.WorkloadID(params.ByName("id"))
	w := a.cfg.Configuration.Current().Workload(id)
	if w == nil {
		return nil, heatherhub.ErrNotFound.New("no workload %q: list them with heatherhub workload list", id)
	}
	return w, nil
}

func (a *api) addJob(r *http.Request, _ httprouter.Params) (any, error) {
	req, err := decode[operatorapi.JobRequest](r)
	if err != nil {
		return nil, err
	}
	j := heatherhub.Job{ID: req.ID, Workload: req.Workload, Tasks: req.Tasks, Priority: req.Priority, State: heatherhub.JobQueued}
	if err := a.checkJob(&j); err != nil {
		return nil, err
	}
	return a.cfg.Backend.AddJob(r.Context(), j)
}

// checkJob returns an error for jobs that no owner could accept.
func (a *api) checkJob(j *heatherhub.Job) error {
	if err := j.Check(); err != nil {
		return err
	}
	if j.Priority < heatherhub.PriorityBatch || j.Priority > heatherhub.PriorityUrgent {
		return heatherhub.ErrInvalid.New("job %s: priority %d is not within %d to %d", j.ID, j.Priority, heatherhub.PriorityBatch, heatherhub.PriorityUrgent)
	}
	w := a.cfg.Configuration.Current().Workload(j.Workload)
	if w == nil {
		return heatherhub.ErrNotFound.New("job %s: no workload %q: declare it, or list the workloads with heatherhub workload list", j.ID, j.Workload)
	}
	if w.Kind != heatherhub.KindBatch {
		return heatherhub.ErrInvalid.New("job %s: workload %q is a service: name a batch workload", j.ID, j.Workload)
	}
	return nil
}

func (a *api) cancelJob(r *http.Request, params httprouter.Params) (any, error) {
	return a.cfg.Backend.CancelJob(r.Context(), heatherhub.JobID(params.ByName("id")))
}

func (a *api) job(r *http.Request, params httprouter.Params) (any, error) {
	return a.cfg.Backend.Job(r.Context(), heatherhub.JobID(params.ByName("id")))
}

func (a *api) jobs(r *http.Request, _ httprouter.Params) (any, error) {
	q := r.URL.Query()
	f := operatorapi.JobFilter{
		Workload: heatherhub.WorkloadID(q.Get("workload")),
		State:    heatherhub.JobState(q.Get("state")),
		Limit:    operatorapi.MaxListedJobs,
	}
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > operatorapi.MaxListedJobs {
			return nil, heatherhub.ErrInvalid.New("limit %q is not within 1 to %d", text, operatorapi.MaxListedJobs)
		}
		f.Limit = n
	}
	return a.cfg.Backend.Jobs(r.Context(), f)
}

// workers returns the workers, of one failure domain if the query parameter domain names
// one. Their tasks are listed only with tasks=true; otherwise just their number.
func (a *api) workers(r *http.Request, _ httprouter.Params) (any, error) {
	list, err := a.cfg.Backend.Workers(r.Context())
	if err != nil {
		return nil, err
	}
	q := r.URL.Query()
	domain := heatherhub.FailureDomain(q.Get("domain"))
	if domain != "" {
		list.Workers = slices.DeleteFunc(list.Workers, func(v operatorapi.WorkerView) bool { return v.Host.Domain != domain })
		list.MissingShards = slices.DeleteFunc(list.MissingShards, func(s heatherhub.ShardID) bool { return s.Domain != domain })
	}
	for i := range list.Workers {
		v := &list.Workers[i]
		v.TaskCount = len(v.Tasks)
		if q.Get("tasks") != "true" {
			v.Tasks = nil
		}
	}
	return list, nil
}

func (a *api) domains(r *http.Request, _ httprouter.Params) (any, error) {
	if a.cfg.Domains == nil {
		return nil, heatherhub.ErrInvalid.New("this host does not list failure domains: see drainDomains in heatherhub preset view, and heatherhub worker list --domain")
	}
	return a.cfg.Domains(r.Context())
}

func (a *api) hosts(r *http.Request, _ httprouter.Params) (any, error) {
	return a.cfg.Backend.Hosts(r.Context())
}

func (a *api) status(r *http.Request, _ httprouter.Params) (any, error) {
	return a.cfg.Backend.Status(r.Context())
}
