package worker

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherhub.example/heatherhub"
)

// RenewCall is the body of PathRenew. A caller that has the worker's last report sends
// the report's fingerprint instead of the ids of all running tasks.
type RenewCall struct {
	Command RenewCommand `msgpack:"c"`
	// KnownFingerprint is the fingerprint of the caller's last report; zero for none.
	// If the worker's tasks still have it, all running tasks are renewed. Otherwise
	// the answer is Stale and nothing is renewed.
	KnownFingerprint uint64 `msgpack:"s,omitempty"`
}

// RenewReply is the answer of PathRenew: one of its fields is set.
type RenewReply struct {
	// Stale is set if the worker's tasks have another fingerprint than the call.
	Stale bool `msgpack:"x,omitempty"`
	// Report is the full report, or nil if the tasks still have the fingerprint.
	Report *Report `msgpack:"r,omitempty"`
	// Usage replaces the usage in the caller's last report.
	Usage *PackedUsage `msgpack:"u,omitempty"`
}

// PackedUsage is a Usage that refers to tasks by their index in the report.
type PackedUsage struct {
	Worker heatherhub.WorkerID `msgpack:"w"`
	At     time.Time           `msgpack:"at"`
	Tasks  []PackedTaskUsage   `msgpack:"t"`
}

// PackedTaskUsage is a TaskUsage encoded as an array, so the order of the fields is the
// wire format.
type PackedTaskUsage struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Index is the task's index in the report, or -1 if it is not in the report and
	// Task is set.
	Index        int
	Task         heatherhub.TaskID
	CPU          heatherhub.MilliCPU
	Memory       heatherhub.Megabytes
	Accelerators heatherhub.Accelerators
	Latency      time.Duration
	Requests     int
}

// Fingerprint returns a hash of tasks, which must be in order of id; it is never zero.
// It excludes the ends of leases, which change with every renewal, and what is fixed
// once a task has started.
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
	// Zero means no report in KnownFingerprint.
	return max(h.Sum64(), 1)
}

// hashString hashes the length before the text, so that adjacent texts are kept apart.
func hashString(h *xxhash.Digest, text string) {
	hashNumber(h, uint64(len(text)))
	_, _ = h.WriteString(text)
}

func hashNumber(h *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = h.Write(b[:])
}

// runningTasks returns the ids of running tasks in the given order.
func runningTasks(tasks []TaskStatus) []heatherhub.TaskID {
	var ids []heatherhub.TaskID
	for i := range tasks {
		if tasks[i].State == TaskRunning {
			ids = append(ids, tasks[i].Task.ID)
		}
	}
	return ids
}

// compactRenewal replaces the task ids of a command by the fingerprint of the worker's
// last report. It returns false unless the command renews exactly the running tasks of
// that report, confirms no ended tasks, and all tasks have its epoch.
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

// HandleRenewal handles a RenewCall on the worker: tasks are its current tasks in order
// of id, and renew performs the renewal.
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

// packUsage returns the usage of a report with task ids replaced by indexes.
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

// unpack returns the full report of a compact answer: the tasks of the last report with
// renewed leases, and the new usage.
func (p *PackedUsage) unpack(last *Report, leaseUntil time.Time) (Report, error) {
	r := Report{Incarnation: last.Incarnation, Tasks: slices.Clone(last.Tasks), Usage: Usage{Worker: p.Worker, At: p.At}}
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
			return Report{}, heatherhub.ErrUnknown.New("usage refers to task %d of %d: check the worker's version", t.Index, len(r.Tasks))
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
