package logs_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/logs"
)

func TestLinesAreJSONWithHost(t *testing.T) {
	var out bytes.Buffer
	log, err := logs.New(logs.Config{Out: &out, Level: "info", Host: "e1", Domain: "gent"})
	if err != nil {
		t.Fatal(err)
	}
	failure := heatherhub.ErrConflict.New("read version 4")
	log.Debug("hidden")
	log.With(zap.Error(failure)).Warn("refused", zap.NamedError("cause", failure), zap.Int("n", 3))
	if got := strings.Count(out.String(), "\n"); got != 1 {
		t.Fatalf("got %d lines, want 1: %s", got, out.String())
	}
	var got map[string]any
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	delete(got, "time")
	want := map[string]any{
		"level": "warn", "msg": "refused", "host": "e1", "domain": "gent", "n": 3.0,
		"error": "heatherhub.conflict: read version 4", "cause": "heatherhub.conflict: read version 4",
	}
	if len(got) != len(want) {
		t.Errorf("got fields %v, want %v", got, want)
	}
	for k, v := range want {
		if got[k] != v {
			t.Errorf("%s: got %v, want %v", k, got[k], v)
		}
	}
}

func TestUnknownLevelIsRefused(t *testing.T) {
	_, err := logs.New(logs.Config{Level: "loud"})
	if got, want := heatherhub.CodeOf(err), heatherhub.CodeInvalid; got != want {
		t.Errorf("got %v, want code %q", err, want)
	}
}
