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
		{"from the start", func() {}, 0, "a:live"},
		{"a leaves, b comes", func() {
			l.Put(host("a", hostlist.StateLeaving))
			l.Put(host("b", hostlist.StateLive))
		}, lag - 1, "a:live"},
		{"one lag later", func() {}, 1, "a:leaving b:live"},
		{"two changes inside one lag", func() {
			l.Put(host("b", hostlist.StateLeaving))
			l.Remove("b")
			l.Remove("a")
		}, lag - 1, "a:leaving b:live"},
		{"both gone", func() {}, 1, ""},
		{"a comes back", func() { l.Put(host("a", hostlist.StateLive)) }, lag, "a:live"},
	}
	for _, s := range steps {
		s.change()
		clock.Advance(s.wait)
		if got := text(t, l); got != s.want {
			t.Errorf("%s: got %q, want %q", s.name, got, s.want)
		}
	}
	l.SetDown(true)
	_, err := l.Hosts(t.Context())
	if got, want := heatherhub.CodeOf(err), heatherhub.CodeUnavailable; got != want {
		t.Errorf("list that is down: got %q, want %q", got, want)
	}
}

// TestChangesLeadToTheSameList applies changes to a copy and compares it with the
// whole list at each step, also when the lag grows.
func TestChangesLeadToTheSameList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := memory.New(memory.Config{Clock: clock, Lag: time.Second, Hosts: []hostlist.Host{host("a", hostlist.StateLive), host("always", hostlist.StateLive)}})
	random := rand.New(rand.NewPCG(1, 1))
	copied := make(map[string]hostlist.Host)
	var list string
	var revision uint64
	wholes := 0
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
		c, err := l.Changes(list, revision)
		if err != nil {
			t.Fatal(err)
		}
		if c.IsWhole {
			wholes++
			clear(copied)
		}
		for _, h := range c.Hosts {
			copied[h.ID] = h
		}
		for _, id := range c.Removed {
			delete(copied, id)
		}
		list, revision = c.ListID, c.Revision
		want, err := l.Hosts(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := copied["always"]; !ok {
			t.Fatal("got no host that never changed, want it at any lag")
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
	if wholes < 2 || wholes > 1000 {
		t.Errorf("whole lists: got %d of 2000, want some and not most", wholes)
	}
}

func text(t *testing.T, l *memory.List) string {
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
