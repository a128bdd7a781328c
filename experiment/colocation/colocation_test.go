package colocation_test

import (
	"bytes"
	"context"
	"os"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/experiment/colocation"
	"heatherhub.example/heatherhub/version/declaration"
)

// newConfig returns a short run of all policies at both sites with one seed.
func newConfig(t *testing.T, scenarios ...colocation.Scenario) colocation.Config {
	t.Helper()
	cfg := colocation.Config{
		Sites: colocation.Sites(), Snapshots: make(map[string]*heatherhub.Snapshot), Scenarios: scenarios,
		Policies: colocation.Policies(), Seeds: []uint64{7}, Duration: 2 * time.Minute, Parallelism: 2,
	}
	for _, s := range cfg.Sites {
		set, err := declaration.ReadDir(os.DirFS("../../sites/" + s.Name))
		if err != nil {
			t.Fatal(err)
		}
		cfg.Snapshots[s.Name] = set.Snapshot()
	}
	return cfg
}

// TestEqualSeedsGiveEqualResults runs the same configuration twice: any dependence on map
// order, the clock or parallelism shows as a difference of the output.
func TestEqualSeedsGiveEqualResults(t *testing.T) {
	cfg := newConfig(t, colocation.ScenarioNoisyWave)
	cfg.Sites, cfg.Policies = cfg.Sites[:1], cfg.Policies[:2]
	var out [2]bytes.Buffer
	for i := range out {
		rows, err := colocation.Run(context.Background(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		if err := colocation.WriteJSON(&out[i], rows); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := out[1].String(), out[0].String(); got != want {
		t.Errorf("second run: got %s, want %s", got, want)
	}
}

// TestNoPolicyOvercommitsWorkers loses a rack, which makes every policy place many tasks
// on few workers.
func TestNoPolicyOvercommitsWorkers(t *testing.T) {
	rows, err := colocation.Run(context.Background(), newConfig(t, colocation.ScenarioRackLost))
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		if got := r.Results[0].Overcommits; got != 0 {
			t.Errorf("%s, %s: got %d overcommits, want 0", r.Site, r.Policy, got)
		}
		if r.Results[0].Starts == 0 || r.Results[0].OnTime == 0 {
			t.Errorf("%s, %s: got %d starts and %.2f on time, want work done", r.Site, r.Policy, r.Results[0].Starts, r.Results[0].OnTime)
		}
	}
}

func TestReadJSONRoundTripsWriteJSON(t *testing.T) {
	want := []colocation.Row{{Site: "abayskyclaim", Scenario: colocation.ScenarioPeak, Policy: "colocator", Results: []colocation.Result{{Score: 88.5, Finished: 3}}}}
	var b bytes.Buffer
	if err := colocation.WriteJSON(&b, want); err != nil {
		t.Fatal(err)
	}
	got, err := colocation.ReadJSON(&b)
	if err != nil || len(got) != 1 || got[0].Results[0] != want[0].Results[0] {
		t.Errorf("got %v and error %v, want %v", got, err, want)
	}
}
