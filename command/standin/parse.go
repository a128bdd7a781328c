package standin

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/process/standin/model"
)

var defaultDomains = []string{"mechelen", "leuven", "gent"}

// parser parses option values and collects all problems.
type parser struct {
	problems []error
}

func (p *parser) addProblem(format string, args ...any) {
	p.problems = append(p.problems, exitcode.UsageErrorf(format, args...))
}

func (p *parser) checkMin(name string, value, minimum float64) {
	if value < minimum {
		p.addProblem("%s is %g: use %g or more", name, value, minimum)
	}
}

func (p *parser) checkAddress(name, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		p.addProblem("%s %q is not an IP address and port, for example 127.0.0.1:7400", name, text)
	}
}

// parseAmount parses a positive integer with an optional unit.
func (p *parser) parseAmount(name, text, unit string) int64 {
	n, err := strconv.ParseInt(strings.TrimSuffix(text, unit), 10, 64)
	if err != nil || n < 1 {
		p.addProblem("%s %q: use a positive integer with the unit %s, for example 1000%s", name, text, unit, unit)
	}
	return n
}

func (p *parser) parseCapacity(o *Options) heatherhub.Resources {
	return heatherhub.Resources{
		CPU:          heatherhub.MilliCPU(p.parseAmount("--cpu", o.CPU, "m")),
		Memory:       heatherhub.Megabytes(p.parseAmount("--memory", o.Memory, "MB")),
		Accelerators: heatherhub.Accelerators(o.Accelerators),
	}
}

// parseDomains parses comma-separated names of failure domains; none given are the
// defaults.
func (p *parser) parseDomains(values []string) []heatherhub.FailureDomain {
	if len(values) == 0 {
		values = defaultDomains
	}
	var out []heatherhub.FailureDomain
	for _, text := range values {
		for name := range strings.SplitSeq(text, ",") {
			if err := heatherhub.CheckName("--domains", name); err != nil {
				p.addProblem("%s", heatherhub.Message(err))
			}
			out = append(out, heatherhub.FailureDomain(name))
		}
	}
	return out
}

// parseWork parses WORKLOAD=TIME values.
func (p *parser) parseWork(values []string) map[heatherhub.WorkloadID]time.Duration {
	out := make(map[heatherhub.WorkloadID]time.Duration)
	for _, text := range values {
		name, value, _ := strings.Cut(text, "=")
		d, err := time.ParseDuration(value)
		if name == "" || err != nil || d < 0 {
			p.addProblem("--work %q: use WORKLOAD=TIME, for example compile=40ms", text)
		}
		out[heatherhub.WorkloadID(name)] = d
	}
	return out
}

// parseInterference parses WORKLOAD:CLASS=SLOWDOWN values.
func (p *parser) parseInterference(values []string) model.Interference {
	out := make(model.Interference)
	for _, text := range values {
		pair, value, _ := strings.Cut(text, "=")
		name, class, _ := strings.Cut(pair, ":")
		slowdown, err := strconv.ParseFloat(value, 64)
		if name == "" || class == "" || err != nil || slowdown < 0 {
			p.addProblem("--interference %q: use WORKLOAD:CLASS=SLOWDOWN, for example compile:render=0.8", text)
		}
		out[model.InterferencePair{Workload: heatherhub.WorkloadID(name), Class: class}] = slowdown
	}
	return out
}
