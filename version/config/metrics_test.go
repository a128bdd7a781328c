package config_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/version/config"
)

// metricSum returns the sum of the series of a metric whose first label has the value
// label; an empty label matches all series.
func metricSum(t *testing.T, r *prometheus.Registry, name, label string) float64 {
	t.Helper()
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == name && (label == "" || m.GetLabel()[0].GetValue() == label) {
				sum += m.GetGauge().GetValue() + m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

func TestMetricsReportVersionAndOutcomes(t *testing.T) {
	r := prometheus.NewRegistry()
	k := config.New(config.Config{Store: &fakeStore{}, Clock: clockwork.NewFakeClock(), Registerer: r})
	for _, expect := range []heatherhub.Version{0, 1, 1} {
		_, err := k.Edit(t.Context(), expect, func(*heatherhub.Snapshot) error { return nil })
		if got := heatherhub.CodeOf(err); got != heatherhub.CodeOK && got != heatherhub.CodeConflict {
			t.Fatal(err)
		}
	}
	k.Offer(&heatherhub.Snapshot{Version: 9, Teams: []heatherhub.Team{{}}})
	for _, tt := range []struct {
		name, label string
		want        float64
	}{
		{"heatherhub_config_version", "", 2},
		{"heatherhub_config_edits_total", "ok", 2},
		{"heatherhub_config_edits_total", "conflict", 1},
		{"heatherhub_config_invalid_total", "peer", 1},
	} {
		if got := metricSum(t, r, tt.name, tt.label); got != tt.want {
			t.Errorf("%s %s: got %v, want %v", tt.name, tt.label, got, tt.want)
		}
	}
}
