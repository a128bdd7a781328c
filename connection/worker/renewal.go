package worker

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherhub.example/heatherhub"
)

// RenewCall is a RenewCommand on the wire. A caller that has the worker's last
// report whole sends its fingerprint in place of the names of all running tasks.
type RenewCall struct {
	Command RenewCommand `msgpack:"c"`
	// KnownFingerprint is the fingerprint of the caller's last report; zero for none. If the
	// worker's tasks still have it, all running ones are renewed. Otherwise the
	// answer is Stale and nothing is renewed.
	KnownFingerprint uint64 `msgpack:"s,omitempty"`
}

// RenewReply is a Report on the wire.
type RenewReply struct {
	// Stale says that the worker's tasks have another fingerprint.
	Stale bool `msgpack:"x,omitempty"`
	// Report is the whole report, or nil if the tasks still have the fingerprint.
	Report *Report `msgpack:"r,omitempty"`
	// Usage replaces the usage of the caller's last report.
	Usage *PackedUsage `msgpack:"u,omitempty"`
}

// PackedUsage is a Usage that names tasks by their place in the report.
type PackedUsage struct {
	Worker heatherhub.WorkerID `msgpack:"w"`
	At     time.Time           `msgpack:"at"`
	Tasks  []PackedTaskUsage   `msgpack:"t"`
}

// PackedTaskUsage is a TaskUsage as an array.
type PackedTaskUsage struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Index is the task's place in the report, or -1 if Task names it.
	Index        int
	Task         heatherhub.TaskID
	CPU          heatherhub.MilliCPU
	Memory       heatherhub.Megabytes
	Accelerators heatherhub.Accelerators
	Latency      time.Duration
	Requests     int
}

// Fingerprint returns a hash of tasks in order of id. It covers all but the ends
// of leases, and what is fixed for a task from its start on.
func Fingerprint(tasks []TaskStatus) uint64 {
	var h xxhash.Digest
	h.Reset()
	for i := range tasks {
		t := &tasks[i]
		hashString(&h, string(t.Task.ID))
		hashString(&h, string(t.State))
		hashString(&h, string(t.Checkpoint))
		hashNumber(&h, uint64(t.Epoch))
		hashNumber(&h, uint64(t.Throttle))
		hashNumber(&h, uint64(t.Started.UnixNano()))
	}
	// Zero stands for no report.
	return max(h.Sum64(), 1)
}

func hashString(h *xxhash.Digest, text string) {
	hashNumber(h, uint64(len(text)))
	_, _ = h.WriteString(text)
}

func hashNumber(h *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = h.Write(b[:])
}

// runningTasks returns the ids of running tasks, in order of the report.
func runningTasks(tasks []TaskStatus) []heatherhub.TaskID {
	var ids []heatherhub.TaskID
	for i := range tasks {
		if tasks[i].State == TaskRunning {
			ids = append(ids, tasks[i].Task.ID)
		}
	}
	return ids
}

// compactRenewal returns the call that says the same as the command to a worker whose
// last report is known. The second result is false if there is none.
func compactRenewal(c RenewCommand, last *Report) (RenewCall, bool) {
	if last == nil || len(c.Tasks) == 0 || len(c.Confirmed) > 0 {
		return RenewCall{}, false
	}
	for i := range last.Tasks {
		if last.Tasks[i].Epoch != c.Epoch {
			return RenewCall{}, false
		}
	}
	named := slices.Sorted(slices.Values(c.Tasks))
	if !slices.Equal(named, runningTasks(last.Tasks)) {
		return RenewCall{}, false
	}
	c.Tasks = nil
	return RenewCall{Command: c, KnownFingerprint: Fingerprint(last.Tasks)}, true
}

// HandleRenewal answers a call with the worker's tasks and its own Renew.
func HandleRenewal(c RenewCall, tasks []TaskStatus, renew func(RenewCommand) (Report, error)) (RenewReply, error) {
	if c.KnownFingerprint != 0 {
		if Fingerprint(tasks) != c.KnownFingerprint {
			return RenewReply{Stale: true}, nil
		}
		c.Command.Tasks = runningTasks(tasks)
	}
	r, err := renew(c.Command)
	if err != nil {
		return RenewReply{}, err
	}
	if c.KnownFingerprint == 0 || Fingerprint(r.Tasks) != c.KnownFingerprint {
		return RenewReply{Report: &r}, nil
	}
	return RenewReply{Usage: packUsage(r)}, nil
}

func packUsage(r Report) *PackedUsage {
	indexes := make(map[heatherhub.TaskID]int, len(r.Tasks))
	for i := range r.Tasks {
		indexes[r.Tasks[i].Task.ID] = i
	}
	p := &PackedUsage{Worker: r.Usage.Worker, At: r.Usage.At}
	for _, u := range r.Usage.Tasks {
		t := PackedTaskUsage{
			Index: -1, CPU: u.Used.CPU, Memory: u.Used.Memory, Accelerators: u.Used.Accelerators,
			Latency: u.Latency, Requests: u.Requests,
		}
		if index, ok := indexes[u.Task]; ok {
			t.Index = index
		} else {
			t.Task = u.Task
		}
		p.Tasks = append(p.Tasks, t)
	}
	return p
}

// unpack returns the report that a short answer stands for.
func (p *PackedUsage) unpack(last *Report, leaseUntil time.Time) (Report, error) {
	r := Report{Tasks: slices.Clone(last.Tasks), Usage: Usage{Worker: p.Worker, At: p.At}}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State == TaskRunning && leaseUntil.After(t.LeaseUntil) {
			t.LeaseUntil = leaseUntil
		}
	}
	for _, t := range p.Tasks {
		id := t.Task
		switch {
		case t.Index >= len(r.Tasks):
			return Report{}, heatherhub.ErrUnknown.New("usage of task %d of %d: check the worker's version", t.Index, len(r.Tasks))
		case t.Index >= 0:
			id = r.Tasks[t.Index].Task.ID
		}
		r.Usage.Tasks = append(r.Usage.Tasks, TaskUsage{
			Task:    id,
			Used:    heatherhub.Resources{CPU: t.CPU, Memory: t.Memory, Accelerators: t.Accelerators},
			Latency: t.Latency, Requests: t.Requests,
		})
	}
	return r, nil
}
