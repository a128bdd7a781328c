package standin_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/sourcegraph/conc"

	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/standin"
	"heatherhub.example/heatherhub/command/streams"
)

func parse(t *testing.T, args ...string) *standin.Options {
	t.Helper()
	var o standin.Options
	p, err := arg.NewParser(arg.Config{IgnoreEnv: true}, &o)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Parse(args); err != nil {
		t.Fatal(err)
	}
	return &o
}

func TestRunReportsAllProblems(t *testing.T) {
	s, _, errOut := streams.Test()
	o := parse(t, "--workers=0", "--cpu=lots", "--domains=mechelen,?", "--work=compile", "--interference=a=1", "--listen=here")
	err := o.Run(t.Context(), &factory.Factory{IO: s})
	if got, want := exitcode.Of(err), exitcode.Usage; got != want {
		t.Errorf("exit status: got %d, want %d", got, want)
	}
	for _, want := range []string{"--workers", "--cpu", "--domains", "--work", "--interference", "--listen"} {
		if !strings.Contains(errOut.String(), want) {
			t.Errorf("messages: got %q, want a problem of %s too", errOut, want)
		}
	}
}

func TestRunServesUntilCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s, _, _ := streams.Test()
	out, in := io.Pipe()
	s.Out = in
	o := parse(t, "--listen=127.0.0.1:0", "--workers=3")
	var err error
	var wg conc.WaitGroup
	wg.Go(func() { err = o.Run(ctx, &factory.Factory{IO: s}) })
	lines := bufio.NewScanner(out)
	lines.Scan()
	_, address, _ := strings.Cut(lines.Text(), "\t")
	lines.Scan()
	resp, getErr := http.Get("http://" + address + "/hosts")
	if getErr != nil {
		t.Fatal(getErr)
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if got, want := strings.Count(string(body), `"role":"worker"`), 3; got != want {
		t.Errorf("listed workers: got %d, want %d", got, want)
	}
	cancel()
	wg.Wait()
	if err != nil {
		t.Errorf("stop: got %v, want no error", err)
	}
}
