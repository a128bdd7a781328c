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

// presetList is the answer of /v1/presets.
type presetList struct {
	Version heatherhub.Version  `json:"version"`
	InForce heatherhub.PresetID `json:"inForce"`
	Presets []heatherhub.Preset `json:"presets"`
}

// workloadList is the answer of /v1/workloads.
type workloadList struct {
	Version   heatherhub.Version    `json:"version"`
	Workloads []heatherhub.Workload `json:"workloads"`
}

func (p *port) snapshot(_ *http.Request, _ httprouter.Params) (any, error) {
	return p.cfg.Configuration.Current(), nil
}

func (p *port) apply(r *http.Request, _ httprouter.Params) (any, error) {
	req, err := decode[operatorapi.ApplyRequest](r)
	if err != nil {
		return nil, err
	}
	return p.edit(r, req.EditID, req.ExpectVersion, func(s *heatherhub.Snapshot) error {
		s.Teams = req.Snapshot.Teams
		s.Workloads = req.Snapshot.Workloads
		s.Presets = req.Snapshot.Presets
		if s.InForce == "" {
			s.InForce = req.Snapshot.InForce
		}
		return nil
	})
}

func (p *port) switchPreset(r *http.Request, params httprouter.Params) (any, error) {
	req, err := decode[operatorapi.SwitchRequest](r)
	if err != nil {
		return nil, err
	}
	id := heatherhub.PresetID(params.ByName("id"))
	return p.edit(r, req.EditID, req.ExpectVersion, func(s *heatherhub.Snapshot) error {
		if s.Preset(id) == nil {
			return noPreset(id)
		}
		s.InForce = id
		return nil
	})
}

func (p *port) edit(r *http.Request, id string, expect heatherhub.Version, change func(*heatherhub.Snapshot) error) (any, error) {
	if err := heatherhub.CheckName("editId", id); err != nil {
		return nil, err
	}
	return p.cfg.Configuration.EditAs(r.Context(), config.EditID(id), expect, change)
}

func noPreset(id heatherhub.PresetID) error {
	return heatherhub.ErrNotFound.New("no preset %q: list them with heatherhub preset list", id)
}

func (p *port) presets(_ *http.Request, _ httprouter.Params) (any, error) {
	s := p.cfg.Configuration.Current()
	return presetList{Version: s.Version, InForce: s.InForce, Presets: s.Presets}, nil
}

func (p *port) preset(_ *http.Request, params httprouter.Params) (any, error) {
	id := heatherhub.PresetID(params.ByName("id"))
	preset := p.cfg.Configuration.Current().Preset(id)
	if preset == nil {
		return nil, noPreset(id)
	}
	return preset, nil
}

func (p *port) workloads(_ *http.Request, _ httprouter.Params) (any, error) {
	s := p.cfg.Configuration.Current()
	return workloadList{Version: s.Version, Workloads: s.Workloads}, nil
}

func (p *port) workload(_ *http.Request, params httprouter.Params) (any, error) {
	id := heatherhub.WorkloadID(params.ByName("id"))
	w := p.cfg.Configuration.Current().Workload(id)
	if w == nil {
		return nil, heatherhub.ErrNotFound.New("no workload %q: list them with heatherhub workload list", id)
	}
	return w, nil
}

func (p *port) addJob(r *http.Request, _ httprouter.Params) (any, error) {
	req, err := decode[operatorapi.JobRequest](r)
	if err != nil {
		return nil, err
	}
	j := heatherhub.Job{ID: req.ID, Workload: req.Workload, Tasks: req.Tasks, Priority: req.Priority, State: heatherhub.JobQueued}
	if err := p.checkJob(&j); err != nil {
		return nil, err
	}
	return p.cfg.Backend.AddJob(r.Context(), j)
}

// checkJob refuses jobs that no owner could accept.
func (p *port) checkJob(j *heatherhub.Job) error {
	if err := j.Check(); err != nil {
		return err
	}
	if j.Priority < heatherhub.PriorityBatch || j.Priority > heatherhub.PriorityUrgent {
		return heatherhub.ErrInvalid.New("job %s: priority %d is not within %d to %d", j.ID, j.Priority, heatherhub.PriorityBatch, heatherhub.PriorityUrgent)
	}
	w := p.cfg.Configuration.Current().Workload(j.Workload)
	if w == nil {
		return heatherhub.ErrNotFound.New("job %s: no workload %q: declare it, or list them with heatherhub workload list", j.ID, j.Workload)
	}
	if w.Kind != heatherhub.KindBatch {
		return heatherhub.ErrInvalid.New("job %s: workload %q is a service: name a batch workload", j.ID, j.Workload)
	}
	return nil
}

func (p *port) cancelJob(r *http.Request, params httprouter.Params) (any, error) {
	return p.cfg.Backend.CancelJob(r.Context(), heatherhub.JobID(params.ByName("id")))
}

func (p *port) job(r *http.Request, params httprouter.Params) (any, error) {
	return p.cfg.Backend.Job(r.Context(), heatherhub.JobID(params.ByName("id")))
}

func (p *port) jobs(r *http.Request, _ httprouter.Params) (any, error) {
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
	return p.cfg.Backend.Jobs(r.Context(), f)
}

func (p *port) workers(r *http.Request, _ httprouter.Params) (any, error) {
	list, err := p.cfg.Backend.Workers(r.Context())
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

func (p *port) hosts(r *http.Request, _ httprouter.Params) (any, error) {
	return p.cfg.Backend.Hosts(r.Context())
}

func (p *port) status(r *http.Request, _ httprouter.Params) (any, error) {
	return p.cfg.Backend.Status(r.Context())
}
