package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/factory"
	"heatherhub.example/heatherhub/command/output"
)

// Limits of the options and of the audit.
const (
	maxRate      = 100_000
	maxDuration  = time.Hour
	maxRequests  = 10_000_000
	maxInFlight  = 20_000
	maxBodyBytes = 1 << 20
	maxAttempts  = 10
	// auditTimeout bounds the request for the audit of the stand-in.
	auditTimeout = 30 * time.Second
	// maxAuditBytes bounds the size of the audit.
	maxAuditBytes = 64 << 20
)

// Options are the command-line options.
type Options struct {
	Targets     []string      `arg:"--target,separate,env:HEATHERHUB_LOAD_TARGET" placeholder:"IP:PORT" help:"caller address of an entry host; repeat for more [default: 127.0.0.1:7101]"`
	Rate        float64       `arg:"--rate,env:HEATHERHUB_LOAD_RATE" default:"100" placeholder:"N" help:"mean number of requests a second"`
	Duration    time.Duration `arg:"--duration,env:HEATHERHUB_LOAD_DURATION" default:"10s" placeholder:"TIME" help:"longest time of sending"`
	MaxRequests int           `arg:"--requests,env:HEATHERHUB_LOAD_REQUESTS" default:"100000" placeholder:"N" help:"largest number of requests"`
	Mix         string        `arg:"--mix,env:HEATHERHUB_LOAD_MIX" default:"compile=1" placeholder:"NAME=WEIGHT,..." help:"services and their shares"`
	Deadline    time.Duration `arg:"--deadline,env:HEATHERHUB_LOAD_DEADLINE" default:"1s" placeholder:"TIME" help:"time within which a request must be answered"`
	MaxAttempts int           `arg:"--attempts,env:HEATHERHUB_LOAD_ATTEMPTS" default:"1" placeholder:"N" help:"how often one request is sent at most, with the same idempotency key"`
	BodyBytes   int           `arg:"--body-bytes,env:HEATHERHUB_LOAD_BODY_BYTES" default:"256" placeholder:"N" help:"size of a request's body"`
	InFlight    int           `arg:"--in-flight,env:HEATHERHUB_LOAD_IN_FLIGHT" default:"2000" placeholder:"N" help:"largest number of requests under way"`
	Seed        uint64        `arg:"--seed,env:HEATHERHUB_LOAD_SEED" default:"1" placeholder:"N" help:"seed of the arrivals and the mix"`
	PlotFile    string        `arg:"--plot" placeholder:"FILE" help:"write the distribution of the latencies to a .png or .svg file"`
	AuditURL    string        `arg:"--audit" placeholder:"URL" help:"ask the stand-in at this URL afterwards what its workers saw"`
	// IdempotentServices names services whose requests may run more than once.
	IdempotentServices []string `arg:"--idempotent,separate" placeholder:"NAME" help:"service that may run a request more than once, for the audit"`
	output.Format
}

// Run sends the load and prints the statistics. It returns an error with the status
// GuaranteeViolated for invalid answers or a failed audit.
func (o *Options) Run(ctx context.Context, f *factory.Factory) error {
	cfg, err := o.config()
	if err != nil {
		return err
	}
	result := Run(ctx, *cfg)
	if err := output.Print(f.IO, o.Format, columns, result.Workloads); err != nil {
		return err
	}
	if n := result.InvalidAnswers(); n > 0 {
		return exitcode.ViolationErrorf("%d answers were foreign, truncated or doubled", n)
	}
	if err := o.checkAudit(ctx); err != nil {
		return err
	}
	if o.PlotFile == "" {
		return nil
	}
	return plotLatencies(o.PlotFile, result.Workloads)
}

// config checks all options and reports all problems in one usage error.
func (o *Options) config() (*Config, error) {
	var problems []string
	check := func(ok bool, text string) {
		if !ok {
			problems = append(problems, text)
		}
	}
	check(o.Rate > 0 && o.Rate <= maxRate, "--rate: use more than 0 and at most 100000")
	check(o.Duration > 0 && o.Duration <= maxDuration, "--duration: use more than 0 and at most 1h")
	check(o.MaxRequests > 0 && o.MaxRequests <= maxRequests, "--requests: use 1 to 10000000")
	check(o.Deadline > 0 && o.Deadline <= maxDuration, "--deadline: use more than 0 and at most 1h")
	check(o.MaxAttempts > 0 && o.MaxAttempts <= maxAttempts, "--attempts: use 1 to 10")
	check(o.BodyBytes >= 0 && o.BodyBytes <= maxBodyBytes, "--body-bytes: use 0 to 1048576")
	check(o.InFlight > 0 && o.InFlight <= maxInFlight, "--in-flight: use 1 to 20000")
	check(o.PlotFile == "" || strings.HasSuffix(o.PlotFile, ".png") || strings.HasSuffix(o.PlotFile, ".svg"), "--plot: name a .png or .svg file")
	targets := o.targets()
	for _, t := range targets {
		_, err := netip.ParseAddrPort(t)
		check(err == nil, "--target: "+strconv.Quote(t)+" is not an IP address and port, for example 10.0.1.1:7101")
	}
	mix, err := parseMix(o.Mix)
	check(err == nil, "--mix: list services with weights, for example compile=3,simulation=1")
	if len(problems) > 0 {
		return nil, exitcode.UsageErrorf("invalid options: %d\n%s", len(problems), strings.Join(problems, "\n"))
	}
	return &Config{
		Targets: targets, Rate: o.Rate, Duration: o.Duration, MaxRequests: o.MaxRequests, Mix: mix,
		Deadline: o.Deadline, MaxAttempts: o.MaxAttempts, BodyBytes: o.BodyBytes, InFlight: o.InFlight,
		Seed: o.Seed, RunID: uuid.NewString(), Clock: clockwork.NewRealClock(),
	}, nil
}

func (o *Options) targets() []string {
	if len(o.Targets) == 0 {
		return []string{"127.0.0.1:7101"}
	}
	var list []string
	for _, t := range o.Targets {
		list = append(list, strings.Split(t, ",")...)
	}
	return list
}

// parseMix parses NAME=WEIGHT pairs separated by commas, each name once.
func parseMix(text string) ([]MixEntry, error) {
	var mix []MixEntry
	seen := make(map[string]bool)
	for _, part := range strings.Split(text, ",") {
		name, number, _ := strings.Cut(part, "=")
		weight, err := strconv.ParseFloat(number, 64)
		if err != nil || !(weight > 0) || weight > maxRate || seen[name] {
			return nil, exitcode.UsageErrorf("mix %q", part)
		}
		if err := heatherhub.CheckName("service", name); err != nil {
			return nil, err
		}
		seen[name] = true
		mix = append(mix, MixEntry{Workload: heatherhub.WorkloadID(name), Weight: weight})
	}
	return mix, nil
}

// checkAudit fetches the audit of the stand-in and returns an error if its workers
// recorded a violation. Without --audit it does nothing.
func (o *Options) checkAudit(ctx context.Context) error {
	if o.AuditURL == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	url := strings.TrimSuffix(o.AuditURL, "/") + "/audit?idempotent=" + strings.Join(o.IdempotentServices, "&idempotent=")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return exitcode.UsageErrorf("--audit: %s: use a URL such as http://127.0.0.1:7400", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return heatherhub.ErrUnavailable.New("cannot reach the stand-in: %s: check --audit", err)
	}
	defer resp.Body.Close()
	var audit struct {
		IsClean *bool           `json:"isClean"`
		Report  json.RawMessage `json:"report"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAuditBytes)).Decode(&audit)
	if err != nil || audit.IsClean == nil {
		return heatherhub.ErrUnavailable.New("the response is not an audit of a stand-in: check --audit")
	}
	if !*audit.IsClean {
		return exitcode.ViolationErrorf("the workers recorded a violated guarantee: %s", audit.Report)
	}
	return nil
}
