package routing_test

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/experiment/routing"
)

// TestEqualSeedsGiveEqualResults runs an experiment twice and also checks that no worker
// exceeds its slots, that admission control improves the on-time share under overload,
// and that the report has a row per scenario.
func TestEqualSeedsGiveEqualResults(t *testing.T) {
	cfg := routing.Config{
		Seeds: []uint64{7}, Duration: 6 * time.Second,
		Scenarios: []string{"load 120%", "one silent"}, Policies: []string{"default", "no admission"},
	}
	first, err := routing.Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	second, err := routing.Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(first, second) {
		t.Errorf("got %+v, want the first result %+v", second, first)
	}
	for _, row := range first.Rows {
		if got, want := row.Violations, 0; got != want {
			t.Errorf("%s, %s: got %d slot violations, want %d", row.Scenario, row.Policy, got, want)
		}
	}
	if got, want := first.Rows[0].OnTime.Median, first.Rows[1].OnTime.Median; got <= want {
		t.Errorf("on time at 120%%: got %.4f, want more than %.4f without admission", got, want)
	}
	var table bytes.Buffer
	if err := routing.WriteMarkdown(&table, first); err != nil {
		t.Fatal(err)
	}
	if got, want := bytes.Count(table.Bytes(), []byte("\n| default |")), 2; got != want {
		t.Errorf("got %d rows of the default policy, want %d", got, want)
	}
}

func TestUnknownScenarioIsRejected(t *testing.T) {
	_, err := routing.Run(routing.Config{Scenarios: []string{"load 7000%"}})
	if got, want := heatherhub.CodeOf(err), heatherhub.CodeInvalid; got != want {
		t.Errorf("got code %q, want %q", got, want)
	}
}
