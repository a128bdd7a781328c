package heatherhub_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
)

func TestErrorFromCodeRoundTrip(t *testing.T) {
	for _, code := range []heatherhub.Code{
		heatherhub.CodeInvalid, heatherhub.CodeNotRun, heatherhub.CodeUnknown, heatherhub.CodeConflict,
		heatherhub.CodeNotFound, heatherhub.CodeUnavailable, heatherhub.CodeNotOwner, heatherhub.CodeDenied,
	} {
		err := heatherhub.ErrorFromCode(code, "100% of the message", 3*time.Second)
		if got := heatherhub.CodeOf(err); got != code {
			t.Errorf("CodeOf(%s) = %q, want %q", code, got, code)
		}
		if got, want := heatherhub.Message(err), "100% of the message"; got != want {
			t.Errorf("Message(%s) = %q, want %q", code, got, want)
		}
		if got, want := heatherhub.RetryAfter(err), 3*time.Second; got != want {
			t.Errorf("RetryAfter(%s) = %s, want %s", code, got, want)
		}
	}
}

func TestDidNotRun(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{"no error", nil, false},
		{"not run", heatherhub.ErrNotRun.New("full"), true},
		{"wrapped not run", fmt.Errorf("serve: %w", heatherhub.ErrNotRun.New("full")), true},
		{"unknown", heatherhub.ErrUnknown.New("no answer"), false},
		{"unknown that wraps not run", heatherhub.ErrUnknown.Wrap(heatherhub.ErrNotRun.New("full"), "second hop"), false},
		{"untyped error", errors.New("broken pipe"), false},
		{"code of a newer version", heatherhub.ErrorFromCode("madeUpLater", "?", 0), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := heatherhub.DidNotRun(tt.err); got != tt.want {
				t.Errorf("DidNotRun() = %v, want %v", got, tt.want)
			}
		})
	}
}
