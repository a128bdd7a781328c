package config_test

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store/memory"
	"heatherhub.example/heatherhub/version/config"
	"heatherhub.example/heatherhub/version/declaration"
)

func readSite(b *testing.B, name string) *heatherhub.Snapshot {
	b.Helper()
	set, err := declaration.ReadDir(os.DirFS("../../sites/" + name))
	if err != nil {
		b.Fatal(err)
	}
	return set.Snapshot()
}

// scaledSnapshot returns a snapshot with the given numbers of items, which are copies of
// the items of s with other ids.
func scaledSnapshot(s *heatherhub.Snapshot, teams, workloads, presets int) *heatherhub.Snapshot {
	out := &heatherhub.Snapshot{Version: 1, InForce: "preset-000"}
	for i := range teams {
		t := s.Teams[i%len(s.Teams)]
		t.ID = heatherhub.TeamID(fmt.Sprintf("team-%03d", i))
		out.Teams = append(out.Teams, t)
	}
	var services []heatherhub.ServiceSetting
	for i := range workloads {
		w := s.Workloads[i%len(s.Workloads)]
		w.ID = heatherhub.WorkloadID(fmt.Sprintf("workload-%04d", i))
		w.Team = out.Teams[i%teams].ID
		out.Workloads = append(out.Workloads, w)
		if w.Kind == heatherhub.KindService {
			services = append(services, heatherhub.ServiceSetting{Workload: w.ID, Replicas: 100, Priority: heatherhub.PriorityService})
		}
	}
	for i := range presets {
		p := s.Presets[i%len(s.Presets)]
		p.ID = heatherhub.PresetID(fmt.Sprintf("preset-%03d", i))
		p.Services = services
		out.Presets = append(out.Presets, p)
	}
	return out
}

// BenchmarkSnapshot measures the encoded size of a snapshot and the time to decode and
// check it, for both sites and for the long-term target sizes.
func BenchmarkSnapshot(b *testing.B) {
	site := readSite(b, "vanroosbroeck")
	for name, s := range map[string]*heatherhub.Snapshot{
		"vanroosbroeck":                      site,
		"abayskyclaim":                       readSite(b, "abayskyclaim"),
		"teams=47/workloads=100/presets=5":   scaledSnapshot(site, 47, 100, 5),
		"teams=47/workloads=1000/presets=12": scaledSnapshot(site, 47, 1000, 12),
	} {
		b.Run(name, func(b *testing.B) {
			if errs := s.Check(); len(errs) > 0 {
				b.Fatal(errs[0])
			}
			value, err := msgpack.Marshal(s)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var got heatherhub.Snapshot
				if err := msgpack.Unmarshal(value, &got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value)), "bytes")
		})
	}
}

// BenchmarkActivationOnNineHosts measures the time from an edit until it is active on
// nine hosts, and the number of store calls per host and edit.
func BenchmarkActivationOnNineHosts(b *testing.B) {
	const hosts = 9
	clock := clockwork.NewRealClock()
	s := memory.New(memory.Config{Clock: clock})
	ctx, cancel := context.WithCancel(b.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	var keepers []*config.Keeper
	var activated atomic.Int64
	for range hosts {
		k := config.New(config.Config{Store: s, Clock: clock})
		k.OnChange(func(*heatherhub.Snapshot) { activated.Add(1) })
		group.Go(func() { k.Run(ctx) })
		keepers = append(keepers, k)
	}
	edits := 0
	for b.Loop() {
		activated.Store(0)
		if _, err := keepers[edits%hosts].Edit(ctx, keepers[edits%hosts].Current().Version, addPreset(heatherhub.PresetID(fmt.Sprint("p", edits)))); err != nil {
			b.Fatal(err)
		}
		for activated.Load() < hosts {
			time.Sleep(10 * time.Microsecond)
		}
		edits++
	}
	b.ReportMetric(float64(s.Counts().Total())/float64(edits*hosts), "calls/edit/host")
}

// BenchmarkIdleHost measures the store calls and the bytes read by an idle host. All
// intervals are a hundredth of the defaults; the results are scaled back to real time.
func BenchmarkIdleHost(b *testing.B) {
	const speed = 100
	clock := clockwork.NewRealClock()
	s := memory.New(memory.Config{Clock: clock, WatchWait: memory.DefaultWatchWait / speed})
	k := config.New(config.Config{Store: s, Clock: clock, WatchTimeout: config.DefaultWatchTimeout / speed, RefreshInterval: config.DefaultRefreshInterval / speed})
	if _, err := k.Edit(b.Context(), 0, func(s *heatherhub.Snapshot) error {
		*s = *scaledSnapshot(readSite(b, "vanroosbroeck"), 47, 100, 5)
		return nil
	}); err != nil {
		b.Fatal(err)
	}
	before := s.Counts()
	minutes := 0
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), time.Minute/speed)
		k.Run(ctx)
		cancel()
		minutes++
	}
	after := s.Counts()
	b.ReportMetric(float64(after.Total()-before.Total())/float64(minutes), "calls/minute")
	b.ReportMetric(float64(after.BytesRead-before.BytesRead)/float64(minutes)/60, "bytes/s")
}
