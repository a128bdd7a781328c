package declaration_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/version/declaration"
)

const validTeams = `apiVersion: heatherhub/v1
kind: TeamList
items:
  - id: lessons
    quota: {cpuMilli: 1000, memoryMb: 1000}
`

const validWorkloads = `apiVersion: heatherhub/v1
kind: WorkloadList
items:
  - id: compile
    kind: service
    team: lessons
    size: {cpuMilli: 2000, memoryMb: 3000}
    deadline: 800ms
    concurrency: 4
    weights: {tailLatency: 1.5}
`

func TestReadDirReadsBothSites(t *testing.T) {
	for _, site := range []string{"vanroosbroeck", "abayskyclaim"} {
		set, err := declaration.ReadDir(os.DirFS("../../sites/" + site))
		if err != nil {
			t.Fatalf("%s: got %v, want no error", site, err)
		}
		s := set.Snapshot()
		if got, want := s.InForce, heatherhub.PresetID("ordinary"); got != want {
			t.Errorf("%s: got preset %q in force, want %q", site, got, want)
		}
		if errs := s.Check(); len(errs) > 0 {
			t.Errorf("%s: got %v, want no errors", site, errs)
		}
		for _, id := range []heatherhub.PresetID{"ordinary", "peak", "maintenance"} {
			if s.Preset(id) == nil {
				t.Errorf("%s: got no preset %s, want one", site, id)
			}
		}
	}
}

func TestReadDecodesEveryValueType(t *testing.T) {
	set, err := declaration.ReadDir(fstest.MapFS{
		"teams.yaml":     {Data: []byte(validTeams)},
		"workloads.yaml": {Data: []byte(validWorkloads)},
		"README.md":      {Data: []byte("not a declaration")},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := heatherhub.Workload{
		ID: "compile", Kind: heatherhub.KindService, Team: "lessons",
		Size:     heatherhub.Resources{CPU: 2000, Memory: 3000},
		Deadline: 800 * time.Millisecond, Concurrency: 4,
		Weights: heatherhub.Weights{TailLatency: 1.5},
	}
	if got := set.Workloads[0]; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestReadReportsEveryErrorWithLocation(t *testing.T) {
	tests := []struct {
		name string
		data string
		want []string
	}{
		{
			name: "unknown fields and wrong types",
			data: `apiVersion: heatherhub/v1
kind: WorkloadList
owner: me
items:
  - id: compile
    deadline: 800
    size: {cpuMilli: 1.5, memory: 7}
    idempotent: perhaps
    weights: [1]
  - id: 12
    concurrency: many
`,
			want: []string{
				"f.yaml:3: owner: unknown field: use one of apiVersion, items, kind",
				`f.yaml:6: items[0].deadline: 800 is no duration: write it with a unit, for example 800ms or 2h`,
				`f.yaml:7: items[0].size.cpuMilli: "1.5" is not an integer`,
				"f.yaml:7: items[0].size.memory: unknown field: use one of accelerators, cpuMilli, memoryMb",
				`f.yaml:8: items[0].idempotent: "perhaps" is not true or false`,
				"f.yaml:9: items[0].weights: this is not a mapping: write fields as name: value",
				`f.yaml:10: items[1].id: "12" is not a string: put it in quotes if it looks like a number`,
				`f.yaml:11: items[1].concurrency: "many" is not an integer`,
			},
		},
		{
			name: "unsupported version",
			data: "apiVersion: heatherhub/v2\nkind: TeamList\n",
			want: []string{`f.yaml:1: apiVersion: "heatherhub/v2" is not supported: write apiVersion: heatherhub/v1`},
		},
		{
			name: "unknown kind",
			data: "apiVersion: heatherhub/v1\nkind: Team\n",
			want: []string{`f.yaml:1: kind: "Team" is unknown: use WorkloadList, TeamList or PresetList`},
		},
		{
			name: "invalid YAML",
			data: "apiVersion: [\n",
			want: []string{"f.yaml:1: this is not YAML"},
		},
		{
			name: "anchors",
			data: "apiVersion: heatherhub/v1\nkind: TeamList\nitems:\n  - id: &a x\n",
			want: []string{"f.yaml:4: items[0].id: anchors, aliases and tags are not supported: write the value itself"},
		},
		{
			name: "duplicate name and invalid name",
			data: validTeams + `  - id: lessons
  - id: "no spaces"
`,
			want: []string{
				"f.yaml:6: team lessons: the name is declared twice: keep one",
				`f.yaml:7: team no spaces: use letters`,
			},
		},
		{
			name: "several errors in one workload",
			data: validTeams + "---\n" + `apiVersion: heatherhub/v1
kind: WorkloadList
items:
  - id: compile
    kind: service
    team: nobody
    size: {cpuMilli: -1, memoryMb: 3000}
`,
			want: []string{
				"f.yaml:10: workload compile: size: resources -1m cpu, 3000 MB, 0 accelerators are negative: use 0 or more",
				"f.yaml:10: workload compile: a service needs a deadline, for example 800ms",
				"f.yaml:10: workload compile: a service needs a concurrency of 1 or more",
				`f.yaml:10: workload compile: team "nobody" is not declared: add it to teams`,
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := declaration.Read("f.yaml", []byte(tt.data))
			var problems declaration.Problems
			if !errors.As(err, &problems) || heatherhub.CodeOf(err) != heatherhub.CodeInvalid {
				t.Fatalf("got %v, want Problems with the code of ErrInvalid", err)
			}
			got := strings.Split(problems.Error(), "\n")
			if len(got) != len(tt.want) {
				t.Fatalf("got %d problems, want %d:\n%s", len(got), len(tt.want), problems)
			}
			for i := range got {
				if !strings.HasPrefix(got[i], tt.want[i]) {
					t.Errorf("got %q, want %q", got[i], tt.want[i])
				}
			}
		})
	}
}

func TestReadDirWithoutDeclarations(t *testing.T) {
	_, err := declaration.ReadDir(fstest.MapFS{"README.md": {}})
	if got, want := heatherhub.CodeOf(err), heatherhub.CodeInvalid; got != want {
		t.Errorf("got code %q, want %q", got, want)
	}
}

func TestMergeAndDiff(t *testing.T) {
	inForce := &heatherhub.Snapshot{
		Version: 7,
		Teams:   []heatherhub.Team{{ID: "old"}, {ID: "same"}, {ID: "changed"}},
		Presets: []heatherhub.Preset{{ID: "peak"}, {ID: "ordinary", Services: []heatherhub.ServiceSetting{}}},
		InForce: "peak",
	}
	set := &declaration.Set{
		Teams:   []heatherhub.Team{{ID: "new"}, {ID: "changed", Quota: heatherhub.Resources{CPU: 5}}, {ID: "same"}},
		Presets: []heatherhub.Preset{{ID: "ordinary"}},
		Initial: "ordinary",
	}
	tests := []struct {
		undeclared declaration.UndeclaredPolicy
		want       []string
		wantCheck  int
	}{
		{declaration.KeepUndeclared, []string{"add team new", "change team changed"}, 0},
		// Deleting the preset in force fails the check.
		{declaration.DeleteUndeclared, []string{"add team new", "change team changed", "delete team old", "delete preset peak"}, 1},
	}
	for _, tt := range tests {
		next := set.Merge(inForce, tt.undeclared)
		if next.InForce != "peak" {
			t.Errorf("got preset %q in force, want peak: merging must not switch presets", next.InForce)
		}
		if got := len(next.Check()); got != tt.wantCheck {
			t.Errorf("got %d errors, want %d", got, tt.wantCheck)
		}
		var got []string
		for _, c := range declaration.Diff(inForce, next) {
			got = append(got, string(c.Op)+" "+c.Kind+" "+c.ID)
		}
		if g, w := strings.Join(got, "; "), strings.Join(tt.want, "; "); g != w {
			t.Errorf("got %s, want %s", g, w)
		}
	}
}

// FuzzRead checks that Read rejects input only with ErrInvalid, and that an accepted set
// with presets passes the check of the snapshot.
func FuzzRead(f *testing.F) {
	f.Add([]byte(validTeams))
	f.Add([]byte(validWorkloads))
	f.Add([]byte("apiVersion: heatherhub/v1\nkind: PresetList\ninitial: a\nitems: [{id: a, drainRacks: [r1]}]\n"))
	f.Add([]byte("a: &x [*x]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := declaration.Read("f.yaml", data)
		if err != nil {
			if got, want := heatherhub.CodeOf(err), heatherhub.CodeInvalid; got != want {
				t.Errorf("got code %q for %v, want %q", got, err, want)
			}
			return
		}
		s := set.Snapshot()
		if errs := s.Check(); len(errs) > 0 && len(s.Presets) > 0 {
			t.Errorf("got %v from an accepted set, want no errors", errs)
		}
	})
}
