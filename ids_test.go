package heatherhub_test

import (
	"testing"

	"heatherhub.example/heatherhub"
)

func TestWorkerIDHasNameAndIncarnation(t *testing.T) {
	for _, tt := range []struct {
		id             heatherhub.WorkerID
		name           heatherhub.WorkerName
		incarnation    heatherhub.Incarnation
		hasIncarnation bool
	}{
		{heatherhub.NewWorkerID("i-1", 1770724055619), "i-1", 1770724055619, true},
		{heatherhub.NewWorkerID("i-1", 0), "i-1", 0, true},
		{"i-1", "i-1", 0, false},
		{"", "", 0, false},
		{"i-1@", "i-1@", 0, false},
		{"i-1@x", "i-1@x", 0, false},
	} {
		n, ok := tt.id.Incarnation()
		if tt.id.Name() != tt.name || n != tt.incarnation || ok != tt.hasIncarnation {
			t.Errorf("%q: got name %q, incarnation %d, %v, want %q, %d, %v", tt.id, tt.id.Name(), n, ok, tt.name, tt.incarnation, tt.hasIncarnation)
		}
	}
}
