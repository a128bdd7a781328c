package queues_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/version/queues"
)

func newQueue(id heatherhub.QueueID, host, prefix string) queues.Queue {
	return queues.Queue{
		ID: id, Host: host, Prefix: prefix, Timeout: 3 * time.Second,
		QueuePolicy: heatherhub.QueuePolicy{Pool: "job", MaxAttempts: 1, Stretch: 1, Target: 3 * time.Second},
	}
}

func newTable(list ...queues.Queue) *queues.Table {
	return &queues.Table{Version: 7, Limits: queues.Limits{MaxBodyBytes: 1}, Queues: list}
}

// TestCheckFindsProblemsOfEachField guards against a contradiction that is not found, and against
// limits that are refused although they are only just allowed.
func TestCheckFindsProblemsOfEachField(t *testing.T) {
	tests := map[string]struct {
		edit func(*queues.Queue)
		want []queues.Field
	}{
		"valid":                {edit: func(*queues.Queue) {}},
		"no id":                {edit: func(q *queues.Queue) { q.ID = "" }, want: []queues.Field{queues.FieldID}},
		"no host":              {edit: func(q *queues.Queue) { q.Host = "" }, want: []queues.Field{queues.FieldHost}},
		"port":                 {edit: func(q *queues.Queue) { q.Host = "a:80" }, want: []queues.Field{queues.FieldHost}},
		"prefix":               {edit: func(q *queues.Queue) { q.Prefix = "x/" }, want: []queues.Field{queues.FieldPrefix}},
		"timeout 0":            {edit: func(q *queues.Queue) { q.Timeout, q.Target = 0, 0 }, want: []queues.Field{queues.FieldTimeout}},
		"timeout below target": {edit: func(q *queues.Queue) { q.Timeout-- }, want: []queues.Field{queues.FieldTimeout}},
		"negative target":      {edit: func(q *queues.Queue) { q.Target = -1 }, want: []queues.Field{queues.FieldTarget}},
		"attempts 0":           {edit: func(q *queues.Queue) { q.MaxAttempts = 0 }, want: []queues.Field{queues.FieldMaxAttempts}},
		"stretch below 1":      {edit: func(q *queues.Queue) { q.Stretch = 0.999 }, want: []queues.Field{queues.FieldStretch}},
		"no workers":           {edit: func(q *queues.Queue) { q.Pool = "serve" }, want: []queues.Field{queues.FieldPool}},
		"two of a queue":       {edit: func(q *queues.Queue) { q.MaxAttempts, q.Stretch = -1, -1 }, want: []queues.Field{queues.FieldMaxAttempts, queues.FieldStretch}},
	}
	for name, tt := range tests {
		q := newQueue("b", "a", "/b/")
		tt.edit(&q)
		c := queues.Candidate{Table: newTable(newQueue("a", "a", "/a/"), q), Pools: []heatherhub.PoolID{"job"}}
		var got []queues.Field
		for _, p := range c.Check() {
			if p.Index != 1 || p.Queue != q.ID {
				t.Errorf("%s: got a problem of queue %d %q, want queue 1", name, p.Index, p.Queue)
			}
			got = append(got, p.Field)
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: got problems of %q, want %q", name, got, tt.want)
		}
	}
}

// TestCheckFindsQueuesThatMatchNothing compares the shadowed queues with what Match does, and guards
// against reporting queues that share only a part of a prefix, or a prefix at another host.
func TestCheckFindsQueuesThatMatchNothing(t *testing.T) {
	table := newTable(newQueue("first", "a", "/x/"), newQueue("longer", "a", "/x/y/"), newQueue("other host", "b", "/x/"),
		newQueue("second", "a", "/x/"), newQueue("third", "a", "/x/"))
	c := queues.Candidate{Table: table}
	problems := c.Check()
	for i, q := range table.Queues {
		got := slices.ContainsFunc(problems, func(p queues.Problem) bool { return p.Index == i && p.Field == queues.FieldPrefix })
		matched, _, _ := table.Match(q.Host, q.Prefix+"1")
		if want := matched.ID != q.ID; got != want {
			t.Errorf("queue %s: got reported: %t, want %t", q.ID, got, want)
		}
	}
}

// TestCheckOfTable guards against errors of the whole table that are not found, and against follow-up
// errors of fields that could not be decoded.
func TestCheckOfTable(t *testing.T) {
	inForce := newTable()
	tests := map[string]struct {
		candidate queues.Candidate
		want      []queues.Field
	}{
		"empty":       {queues.Candidate{Table: &queues.Table{Version: 8}, InForce: inForce}, []queues.Field{queues.FieldMaxBodyBytes, queues.FieldQueues}},
		"same":        {queues.Candidate{Table: newTable(newQueue("a", "a", "/")), InForce: inForce}, []queues.Field{queues.FieldVersion}},
		"same id":     {queues.Candidate{Table: newTable(newQueue("a", "a", "/"), newQueue("a", "b", "/"))}, []queues.Field{queues.FieldID}},
		"not decoded": {queues.Candidate{Table: newTable(queues.Queue{}), Decoding: []queues.Problem{{Index: 0}}}, []queues.Field{""}},
	}
	for name, tt := range tests {
		var got []queues.Field
		for _, p := range tt.candidate.Check() {
			got = append(got, p.Field)
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: got problems of %q, want %q", name, got, tt.want)
		}
	}
}

// TestDiffHasEachField guards against a field that is left out of the comparison.
func TestDiffHasEachField(t *testing.T) {
	from, to := newTable(newQueue("a", "a", "/a/"), newQueue("gone", "a", "/g/")), newTable(newQueue("new", "a", "/n/"), queues.Queue{ID: "a"})
	to.Version, to.Limits.MaxBodyBytes = 8, 2
	to.Queues[1].Priority = 2
	want := []string{
		"changed  version 7 8", "changed  maxBodyBytes 1 2", "added new   a/n/",
		"changed a host a ", "changed a prefix /a/ ", "changed a pool job ", "changed a priority 0 2", "changed a timeout 3s 0s",
		"changed a target 3s 0s", "changed a stretch 1 0", "changed a maxAttempts 1 0", "removed gone  a/g/ ",
	}
	var got []string
	for _, c := range queues.Diff(from, to) {
		got = append(got, fmt.Sprintf("%s %s %s %s %s", c.Op, c.Queue, c.Field, c.From, c.To))
	}
	if !slices.Equal(got, want) {
		t.Errorf("got differences\n%q, want\n%q", got, want)
	}
}
