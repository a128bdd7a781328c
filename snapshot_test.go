package heatherhub_test

import (
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
)

func validSnapshot() heatherhub.Snapshot {
	return heatherhub.Snapshot{
		Version: 7,
		Workloads: []heatherhub.Workload{{
			ID: "compile", Kind: heatherhub.KindService, Team: "school",
			Size:     heatherhub.Resources{CPU: 1000, Memory: 512},
			Deadline: 800 * time.Millisecond, Concurrency: 2,
		}},
		Teams:   []heatherhub.Team{{ID: "school"}},
		Presets: []heatherhub.Preset{{ID: "ordinary", Services: []heatherhub.ServiceSetting{{Workload: "compile", Replicas: 3}}, BatchShare: 60}},
		InForce: "ordinary",
	}
}

func TestSnapshotDecodeValidates(t *testing.T) {
	tests := []struct {
		name   string
		change func(*heatherhub.Snapshot)
		want   string
	}{
		{"valid", func(*heatherhub.Snapshot) {}, ""},
		{"duplicate preset", func(s *heatherhub.Snapshot) { s.Presets = append(s.Presets, s.Presets[0]) }, "declared twice"},
		{"no preset in force", func(s *heatherhub.Snapshot) { s.InForce = "peak" }, "names no preset"},
		{"unknown team", func(s *heatherhub.Snapshot) { s.Workloads[0].Team = "other" }, "not declared"},
		{"service without deadline", func(s *heatherhub.Snapshot) { s.Workloads[0].Deadline = 0 }, "needs a deadline"},
		{"negative size", func(s *heatherhub.Snapshot) { s.Workloads[0].Size.Memory = -1 }, "negative"},
		{"preset of unknown service", func(s *heatherhub.Snapshot) { s.Presets[0].Services[0].Workload = "x" }, "not a declared service"},
		{"floor above share", func(s *heatherhub.Snapshot) { s.Presets[0].BatchFloor = 70 }, "batchFloor"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := validSnapshot()
			tt.change(&s)
			value, err := msgpack.Marshal(&s)
			if err != nil {
				t.Fatal(err)
			}
			var got heatherhub.Snapshot
			err = msgpack.Unmarshal(value, &got)
			if tt.want == "" {
				if err != nil || got.Version != s.Version {
					t.Fatalf("got version %d, error %v, want version %d", got.Version, err, s.Version)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v, want one with %q", err, tt.want)
			}
		})
	}
}

func TestParseShardID(t *testing.T) {
	tests := []struct {
		text string
		want heatherhub.ShardID
		bad  bool
	}{
		{text: "gent/2", want: heatherhub.ShardID{Domain: "gent", Index: 2}},
		{text: "gent", bad: true},
		{text: "/1", bad: true},
		{text: "gent/-1", bad: true},
		{text: "gent/x", bad: true},
	}
	for _, tt := range tests {
		got, err := heatherhub.ParseShardID(tt.text)
		if (err != nil) != tt.bad || got != tt.want {
			t.Errorf("ParseShardID(%q) = %v, %v, want %v, error %v", tt.text, got, err, tt.want, tt.bad)
		}
	}
}

func FuzzSnapshotDecode(f *testing.F) {
	s := validSnapshot()
	value, err := msgpack.Marshal(&s)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add(value[:len(value)/2])
	f.Fuzz(func(t *testing.T, value []byte) {
		var got heatherhub.Snapshot
		if msgpack.Unmarshal(value, &got) != nil {
			return
		}
		if errs := got.Check(); len(errs) > 0 {
			t.Errorf("the decoded snapshot fails validation: %v", errs)
		}
	})
}
