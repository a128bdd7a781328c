package evacuation_test

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/version/evacuation"
)

func decode(key string) (heatherhub.FailureDomain, bool, error) {
	d, ok := strings.CutPrefix(key, "e/")
	if ok && d == "" {
		return "", false, heatherhub.ErrInvalid.New("no domain")
	}
	return heatherhub.FailureDomain(d), ok, nil
}

func item(domain string, created, rev ledger.Revision) ledger.Item {
	return ledger.Item{Key: "e/" + domain, Created: created, Revision: rev}
}

// TestReaderFollowsRequests guards against a request, or its end, that is lost when it is
// repeated, invalid, withdrawn before it was seen, missing from a snapshot, or reported again
// after the snapshot that has it.
func TestReaderFollowsRequests(t *testing.T) {
	var c evacuation.Current
	r := evacuation.Reader{Current: &c, Decode: decode, Log: zap.NewNop()}
	start := time.Unix(1000, 0)
	if c.Load().IsKnown() {
		t.Error("got a known set before the first snapshot")
	}
	r.ApplyChanges([]ledger.Event{{Item: item("a", 1, 1)}}, start)
	if c.Load().IsKnown() {
		t.Error("got a known set from changes alone")
	}
	steps := []struct {
		name   string
		items  []ledger.Item
		events []ledger.Event
		want   string
		since  int
	}{
		{"first snapshot, without a", []ledger.Item{{Key: "config", Revision: 2}, item("", 3, 3)}, nil, "", 0},
		{"requested", nil, []ledger.Event{{Item: item("a", 5, 5)}}, "a", 1},
		{"requested again", nil, []ledger.Event{{Item: item("a", 5, 6)}}, "a", 1},
		{"withdrawal from before", nil, []ledger.Event{{Item: item("a", 0, 4), Deleted: true}}, "a", 1},
		{"snapshot with both", []ledger.Item{item("a", 5, 6), item("b", 7, 7)}, nil, "a b", 1},
		{"withdrawn before it was seen", nil, []ledger.Event{{Item: item("c", 8, 8)}, {Item: item("c", 0, 9), Deleted: true}}, "a b", 1},
		{"withdrawn without a request", nil, []ledger.Event{{Item: item("d", 0, 10), Deleted: true}}, "a b", 1},
		{"withdrawn and requested again", nil, []ledger.Event{{Item: item("a", 0, 11), Deleted: true}, {Item: item("a", 12, 12)}}, "a b", 7},
		{"snapshot without b", []ledger.Item{item("a", 12, 12)}, nil, "a", 7},
		{"withdrawn", nil, []ledger.Event{{Item: item("a", 0, 13), Deleted: true}}, "", 0},
	}
	for k, s := range steps {
		now := start.Add(time.Duration(k) * time.Second)
		if s.events == nil {
			r.ApplySnapshot(ledger.Snapshot{Items: s.items}, now)
		} else {
			r.ApplyChanges(s.events, now)
		}
		var domains []string
		for _, v := range c.Load().Requests() {
			domains = append(domains, string(v.Domain))
			if want := start.Add(time.Duration(s.since) * time.Second); v.Domain == "a" && !v.Since.Equal(want) {
				t.Errorf("%s: got a evacuated since %s, want %s", s.name, v.Since, want)
			}
		}
		if got := strings.Join(domains, " "); got != s.want || !c.Load().IsKnown() {
			t.Errorf("%s: got %q (known: %t), want %q", s.name, got, c.Load().IsKnown(), s.want)
		}
	}
}
