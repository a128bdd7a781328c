package demo_test

import (
	"testing"

	command "heatherhub.example/heatherhub/command/demo"
	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/process/demo"
)

// TestViolationsSetExitStatus guards against a kind of violation that is counted but does
// not fail the command.
func TestViolationsSetExitStatus(t *testing.T) {
	tests := []struct {
		name   string
		result demo.Result
		want   exitcode.Code
	}{
		{"kept", demo.Result{}, exitcode.OK},
		{"lost", demo.Result{Lost: 1}, exitcode.GuaranteeViolated},
		{"doubled", demo.Result{Duplicates: 1}, exitcode.GuaranteeViolated},
		{"overcommitted", demo.Result{Overcommits: 1}, exitcode.GuaranteeViolated},
		{"blurred", demo.Result{RefusedButRan: 1}, exitcode.GuaranteeViolated},
		{"foreign", demo.Result{WrongAnswers: 1}, exitcode.GuaranteeViolated},
		{"cut off", demo.Result{CutOff: 1}, exitcode.GuaranteeViolated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := exitcode.Of(command.CheckGuarantees([]demo.Result{{}, tt.result}))
			if got != tt.want {
				t.Errorf("got exit status %d, want %d", got, tt.want)
			}
		})
	}
}
