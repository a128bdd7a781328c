package entry_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/entry"
	"heatherhub.example/heatherhub/connection/inbound"
)

// settings parses and checks a command line.
func settings(t *testing.T, args string) (*entry.Settings, error) {
	t.Helper()
	var o entry.Options
	p, err := arg.NewParser(arg.Config{}, &o)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Parse(strings.Fields(args)); err != nil {
		t.Fatal(err)
	}
	return o.Settings()
}

const validArgs = "--id e1 --domain gent --shards gent=4,leuven=2 --store http://10.0.0.9:7400/ "

func TestSettingsDefaults(t *testing.T) {
	s, err := settings(t, validArgs)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Layout.Shards, (map[heatherhub.FailureDomain]int{"gent": 4, "leuven": 2}); !reflect.DeepEqual(got, want) {
		t.Errorf("got shards %v, want %v", got, want)
	}
	if got, want := s.HostList, "http://10.0.0.9:7400"; got != want {
		t.Errorf("got host list %q, want the store %q", got, want)
	}
	if got, want := s.PeerAdvertise.String(), "127.0.0.1:7103"; got != want {
		t.Errorf("got peer address %s, want %s", got, want)
	}
	if got, want := s.DrainTimeout, 30*time.Second; got != want {
		t.Errorf("got drain timeout %s, want %s", got, want)
	}
	if got, want := s.Machine, (inbound.Machine{MemoryBytes: 1024e6, Sockets: 3900}); got != want {
		t.Errorf("got limits %+v, want %+v", got, want)
	}
	if !strings.HasPrefix(s.InsecureWarning, "no authentication for --caller-listen, --operator-listen, --peer-listen") {
		t.Errorf("got warning %q, want one that names the three ports", s.InsecureWarning)
	}
}

func TestSettingsReportAllProblems(t *testing.T) {
	short := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(short, []byte("short\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		args string
		want []string
	}{
		{
			name: "nothing given",
			args: "",
			want: []string{
				"--id (HEATHERHUB_ID): name is empty: give it a name",
				"--domain (HEATHERHUB_DOMAIN): failure domain is empty: give it a name",
				"--shards (HEATHERHUB_SHARDS): the layout has no failure domain: set the shards of each domain",
				`--store (HEATHERHUB_STORE): "" is not a URL, for example http://10.0.0.9:7400`,
			},
		},
		{
			name: "wrong values",
			args: validArgs + "--shards gent --caller-listen localhost:1 --drain-timeout soon --trace-ratio much --trace-exporter otlp --log-level loud --hostlist 10.0.0.9 --store-writes 0 --memory-mb much --file-descriptors 200",
			want: []string{
				`--shards (HEATHERHUB_SHARDS): "gent" is not of the form domain=number, or repeats a domain`,
				`--caller-listen (HEATHERHUB_CALLER_LISTEN): "localhost:1" is not an IP address and port, for example 10.0.1.1:7101`,
				`--hostlist (HEATHERHUB_HOSTLIST): "10.0.0.9" is not a URL, for example http://10.0.0.9:7400`,
				`--store-writes (HEATHERHUB_STORE_WRITES): "0" is not a positive integer`,
				"--log-level (HEATHERHUB_LOG_LEVEL): log level",
				`--trace-ratio (HEATHERHUB_TRACE_RATIO): "much" is not a number, for example 0.01`,
				"--trace-exporter (HEATHERHUB_TRACE_EXPORTER): the otlp exporter needs an endpoint",
				`--drain-timeout (HEATHERHUB_DRAIN_TIMEOUT): "soon" is not a duration from 1s to 10m0s, for example 30s`,
				`--memory-mb (HEATHERHUB_MEMORY_MB): "much" is not a positive integer`,
				"--file-descriptors (HEATHERHUB_FILE_DESCRIPTORS): 200 is not above 200, which are kept for files",
			},
		},
		{
			name: "own domain without shards, same port twice",
			args: validArgs + "--domain mechelen --peer-listen 127.0.0.1:7101",
			want: []string{
				`--shards (HEATHERHUB_SHARDS): the failure domain "mechelen" of this host has no shards: list every failure domain`,
				"--peer-listen (HEATHERHUB_PEER_LISTEN): 127.0.0.1:7101 is also the address of --caller-listen: choose another port",
			},
		},
		{
			name: "open ports without keys",
			args: validArgs + "--caller-listen 10.0.0.1:1 --operator-listen 0.0.0.0:2 --peer-listen 0.0.0.0:3",
			want: []string{
				"--peer-advertise (HEATHERHUB_PEER_ADVERTISE): 0.0.0.0 is not the address of a single host: give the IP at which other entry hosts reach this one",
				"--caller-listen (HEATHERHUB_CALLER_LISTEN): 10.0.0.1:1 is reachable from other machines without authentication",
				"--operator-listen (HEATHERHUB_OPERATOR_LISTEN): 0.0.0.0:2 is reachable from other machines without authentication",
				"--peer-listen (HEATHERHUB_PEER_LISTEN): 0.0.0.0:3 is reachable from other machines without authentication",
			},
		},
		{
			name: "open ports, allowed",
			args: validArgs + "--caller-listen 10.0.0.1:1 --operator-listen 0.0.0.0:2 --peer-listen 10.0.0.1:3 --allow-insecure-listen",
		},
		{
			name: "keys and tokens",
			args: validArgs + "--operator-token-file " + short + " --peer-cert none.pem --operator-cert none.pem --operator-key none.pem",
			want: []string{
				"--operator-token-file (HEATHERHUB_OPERATOR_TOKEN_FILE): the token has 5 characters: use 16 or more",
				"--peer-cert (HEATHERHUB_PEER_CERT): some files are missing: give certificate, key and CA",
				"--operator-cert (HEATHERHUB_OPERATOR_CERT): cannot read a key file",
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := settings(t, tt.args)
			if len(tt.want) == 0 {
				if err != nil {
					t.Errorf("got %v, want no error", err)
				}
				return
			}
			if got, want := heatherhub.CodeOf(err), heatherhub.CodeInvalid; got != want {
				t.Fatalf("got %v, want code %q", err, want)
			}
			got := strings.Split(heatherhub.Message(err), "\n")[1:]
			if len(got) != len(tt.want) {
				t.Fatalf("got %d problems, want %d:\n%s", len(got), len(tt.want), strings.Join(got, "\n"))
			}
			for i := range got {
				if !strings.HasPrefix(got[i], tt.want[i]) {
					t.Errorf("got %q, want %q", got[i], tt.want[i])
				}
			}
		})
	}
}

// TestSettingsHaveFlagAndEnvironmentVariable checks that the variable of each flag is
// HEATHERHUB_ and the flag in capitals, which addProblem relies on.
func TestSettingsHaveFlagAndEnvironmentVariable(t *testing.T) {
	options := reflect.TypeFor[entry.Options]()
	for i := range options.NumField() {
		flag, env, _ := strings.Cut(options.Field(i).Tag.Get("arg"), ",")
		want := "env:HEATHERHUB_" + strings.ToUpper(strings.ReplaceAll(strings.TrimPrefix(flag, "--"), "-", "_"))
		if env != want {
			t.Errorf("%s: got %q, want %q", options.Field(i).Name, env, want)
		}
	}
}

func TestFlagsOverrideEnvironment(t *testing.T) {
	t.Setenv("HEATHERHUB_ID", "from-variable")
	t.Setenv("HEATHERHUB_DRAIN_TIMEOUT", "5s")
	s, err := settings(t, "--domain gent --shards gent=1 --store http://10.0.0.9:7400 --drain-timeout 7s")
	if err != nil {
		t.Fatal(err)
	}
	if s.ID != "from-variable" || s.DrainTimeout != 7*time.Second {
		t.Errorf("got %s and %s, want from-variable and 7s", s.ID, s.DrainTimeout)
	}
}
