package demo_test

import (
	"testing"

	command "heatherhub.example/heatherhub/command/demo"
	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/process/demo"
)

func TestEveryBrokenPromiseHasItsExitStatus(t *testing.T) {
	tests := []struct {
		name   string
		result demo.Result
		want   exitcode.Code
	}{
		{"kept", demo.Result{}, exitcode.OK},
		{"lost", demo.Result{Lost: 1}, exitcode.BrokenPromise},
		{"doubled", demo.Result{Duplicates: 1}, exitcode.BrokenPromise},
		{"overcommitted", demo.Result{Overcommits: 1}, exitcode.BrokenPromise},
		{"blurred", demo.Result{RefusedButRan: 1}, exitcode.BrokenPromise},
		{"foreign", demo.Result{WrongAnswers: 1}, exitcode.BrokenPromise},
		{"cut off", demo.Result{CutOff: 1}, exitcode.BrokenPromise},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := exitcode.Of(command.Judge([]demo.Result{{}, tt.result}))
			if got != tt.want {
				t.Errorf("got exit status %d, want %d", got, tt.want)
			}
		})
	}
}
