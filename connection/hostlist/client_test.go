package hostlist_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"heatherhub.example/heatherhub/connection/hostlist"
	"heatherhub.example/heatherhub/connection/platform"
)

const validHost = `{"id":"w1","role":"worker","domain":"gent","address":"10.0.0.9:7100","state":"live","capacity":{"cpuMilli":1000,"memoryMb":10},"slots":4}`

// oddHosts are entries of another program in place of validHost.
func oddHosts() map[string]string {
	replace := func(old, text string) string {
		return strings.Replace(strings.Replace(validHost, `"w1"`, `"w2"`, 1), old, text, 1)
	}
	return map[string]string{
		"no host":             `7`,
		"unknown role":        replace(`"worker"`, `"printer"`),
		"wrong type":          replace(`"live"`, `["live"]`),
		"deeply nested":       replace(`"live"`, strings.Repeat("[", 4000)+strings.Repeat("]", 4000)),
		"number too large":    replace("1000", "1"+strings.Repeat("0", 4000)),
		"amount too large":    replace("1000", "9223372036854775807"),
		"port out of range":   replace("7100", "71000"),
		"port zero":           replace("7100", "0"),
		"unspecified address": replace("10.0.0.9", "0.0.0.0"),
		"slots out of range":  replace(`"slots":4`, `"slots":9223372036854775807`),
		"rack too long":       replace(`"slots":4`, `"rack":"`+strings.Repeat("r", 4000)+`"`),
	}
}

// TestOddHostIsIgnored guards against a host that no longer follows the list, or that ends, since another
// program has left an entry in it that is no valid host.
func TestOddHostIsIgnored(t *testing.T) {
	for name, odd := range oddHosts() {
		t.Run(name, func(t *testing.T) {
			body := fmt.Sprintf(`{"list":"l","revision":3,"isWhole":true,"hosts":[%s,%s,%s]}`, odd, validHost, odd)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			core, logs := observer.New(zapcore.InfoLevel)
			list := hostlist.NewClient(hostlist.ClientConfig{
				Platform: platform.Config{Address: strings.TrimPrefix(server.URL, "http://"), Protocol: platform.ProtocolHTTP1}, Log: zap.New(core),
			})
			defer list.Close()
			hosts, err := list.Hosts(t.Context())
			if err != nil || len(hosts) != 1 || hosts[0].ID != "w1" {
				t.Fatalf("got %d hosts, error %v, want the valid one alone", len(hosts), err)
			}
			if got, want := logs.Len(), 2; got != want {
				t.Errorf("got %d log lines, want %d", got, want)
			}
			for _, l := range logs.All() {
				if n := len(fmt.Sprint(l.ContextMap())); n > 1000 {
					t.Errorf("got a log line of %d bytes, want the entry cut", n)
				}
			}
		})
	}
}
