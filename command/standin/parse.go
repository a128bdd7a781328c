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

// parser reads settings and keeps every mistake.
type parser struct {
	problems []error
}

func (p *parser) fail(format string, args ...any) {
	p.problems = append(p.problems, exitcode.BadUsage(format, args...))
}

func (p *parser) atLeast(name string, value, least float64) {
	if value < least {
		p.fail("%s is %g: use %g or more", name, value, least)
	}
}

func (p *parser) address(name, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		p.fail("%s %q is no IP and port: write for example 127.0.0.1:7400", name, text)
	}
}

// amount reads a number with its unit.
func (p *parser) amount(name, text, unit string) int64 {
	n, err := strconv.ParseInt(strings.TrimSuffix(text, unit), 10, 64)
	if err != nil || n < 1 {
		p.fail("%s %q: write a number above 0 and %s, for example 1000%s", name, text, unit, unit)
	}
	return n
}

func (p *parser) capacity(o *Options) heatherhub.Resources {
	return heatherhub.Resources{
		CPU:          heatherhub.MilliCPU(p.amount("--cpu", o.CPU, "m")),
		Memory:       heatherhub.Megabytes(p.amount("--memory", o.Memory, "MB")),
		Accelerators: heatherhub.Accelerators(o.Accelerators),
	}
}

func (p *parser) domains(given []string) []heatherhub.FailureDomain {
	if len(given) == 0 {
		given = defaultDomains
	}
	var out []heatherhub.FailureDomain
	for _, text := range given {
		for name := range strings.SplitSeq(text, ",") {
			if err := heatherhub.CheckName("--domains", name); err != nil {
				p.fail("%s", heatherhub.Message(err))
			}
			out = append(out, heatherhub.FailureDomain(name))
		}
	}
	return out
}

// work reads WORKLOAD=TIME.
func (p *parser) work(given []string) map[heatherhub.WorkloadID]time.Duration {
	out := make(map[heatherhub.WorkloadID]time.Duration)
	for _, text := range given {
		name, value, _ := strings.Cut(text, "=")
		d, err := time.ParseDuration(value)
		if name == "" || err != nil || d < 0 {
			p.fail("--work %q: write WORKLOAD=TIME, for example compile=40ms", text)
		}
		out[heatherhub.WorkloadID(name)] = d
	}
	return out
}

// interference reads WORKLOAD:CLASS=SLOWDOWN.
func (p *parser) interference(given []string) model.Interference {
	out := make(model.Interference)
	for _, text := range given {
		pair, value, _ := strings.Cut(text, "=")
		name, class, _ := strings.Cut(pair, ":")
		slowdown, err := strconv.ParseFloat(value, 64)
		if name == "" || class == "" || err != nil || slowdown < 0 {
			p.fail("--interference %q: write WORKLOAD:CLASS=SLOWDOWN, for example compile:render=0.8", text)
		}
		out[model.InterferencePair{Workload: heatherhub.WorkloadID(name), Class: class}] = slowdown
	}
	return out
}
