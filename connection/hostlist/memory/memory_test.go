package memory_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/hostlist/memory"
)

func host(id string, s hostlist.State) hostlist.Host {
	return hostlist.Host{ID: id, Role: hostlist.RoleEntry, Domain: "gent", Address: "127.0.0.1:7103", State: s}
}

func TestListLags(t *testing.T) {
	const lag = 5 * time.Second
	clock := clockwork.NewFakeClock()
	l := memory.New(memory.Config{Clock: clock, Lag: lag, Hosts: []hostlist.Host{host("a", hostlist.StateLive)}})
	steps := []struct {
		name   string
		change func()
		wait   time.Duration
		want   string
	}{
		{"initial hosts", func() {}, 0, "a:live"},
		{"a leaving and b added, before the lag has passed", func() {
			l.Put(host("a", hostlist.StateLeaving))
			l.Put(host("b", hostlist.StateLive))
		}, lag - 1, "a:live"},
		{"a leaving and b added, after the lag", func() {}, 1, "a:leaving b:live"},
		{"b updated and removed within one lag, a removed", func() {
			l.Put(host("b", hostlist.StateLeaving))
			l.Remove("b")
			l.Remove("a")
		}, lag - 1, "a:leaving b:live"},
		{"both removed, after the lag", func() {}, 1, ""},
		{"a added again", func() { l.Put(host("a", hostlist.StateLive)) }, lag, "a:live"},
	}
	for _, s := range steps {
		s.change()
		clock.Advance(s.wait)
		if got := formatHosts(t, l); got != s.want {
			t.Errorf("%s: got %q, want %q", s.name, got, s.want)
		}
	}
	l.SetDown(true)
	_, err := l.Hosts(t.Context())
	if got, want := heatherhub.CodeOf(err), heatherhub.CodeUnavailable; got != want {
		t.Errorf("unavailable list: got %q, want %q", got, want)
	}
}

// TestAppliedChangesEqualCompleteList applies the changes to a copy and compares the
// copy with the complete list after each step, including steps in which the lag grows.
func TestAppliedChangesEqualCompleteList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := memory.New(memory.Config{Clock: clock, Lag: time.Second, Hosts: []hostlist.Host{host("a", hostlist.StateLive), host("always", hostlist.StateLive)}})
	random := rand.New(rand.NewPCG(1, 1))
	copied := make(map[string]hostlist.Host)
	var listID string
	var revision uint64
	completeLists := 0
	for range 2000 {
		id := string(rune('a' + random.IntN(5)))
		switch random.IntN(6) {
		case 0:
			l.Put(host(id, hostlist.StateLive))
		case 1:
			l.Put(host(id, hostlist.StateLeaving))
		case 2:
			l.Remove(id)
		case 3:
			l.SetLag(time.Duration(random.IntN(3)) * time.Second)
		}
		clock.Advance(time.Duration(random.IntN(1000)) * time.Millisecond)
		c, err := l.Changes(listID, revision)
		if err != nil {
			t.Fatal(err)
		}
		if c.IsWhole {
			completeLists++
			clear(copied)
		}
		for _, h := range c.Hosts {
			copied[h.ID] = h
		}
		for _, id := range c.Removed {
			delete(copied, id)
		}
		listID, revision = c.ListID, c.Revision
		want, err := l.Hosts(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := copied["always"]; !ok {
			t.Fatal("got no host \"always\", want the unchanged host at any lag")
		}
		if len(copied) != len(want) {
			t.Fatalf("got %d hosts, want %d", len(copied), len(want))
		}
		for _, h := range want {
			if got := copied[h.ID]; got != h {
				t.Fatalf("host %s: got %+v, want %+v", h.ID, got, h)
			}
		}
	}
	if completeLists < 2 || completeLists > 1000 {
		t.Errorf("complete lists: got %d of 2000, want 2 to 1000", completeLists)
	}
}

// formatHosts returns the visible hosts as "id:state" separated by spaces.
func formatHosts(t *testing.T, l *memory.List) string {
	t.Helper()
	hosts, err := l.Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var out string
	for i, h := range hosts {
		if i > 0 {
			out += " "
		}
		out += h.ID + ":" + string(h.State)
	}
	return out
}
