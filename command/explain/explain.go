// Package explain implements "heatherhub explain", which merges the logs of several
// hosts into the timeline of one job.
//
// # Usage
//
//	heatherhub explain 5c0e7a21d94b36f8 entry-*.log
//	cat entry-*.log | heatherhub explain 5c0e7a21d94b36f8
package explain

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/factory"
)

// Options are the command-line options.
type Options struct {
	ID             string        `arg:"positional,required" placeholder:"ID" help:"id of a job"`
	Files          []string      `arg:"positional" placeholder:"FILE" help:"log files; none reads standard input"`
	MaxClockSkew   time.Duration `arg:"--skew" default:"0s" help:"how far the hosts' clocks may differ; lines that close are ordered by cause"`
	WithHostEvents bool          `arg:"--near" help:"add what happened to shards, workers and the store meanwhile"`
}

// line is one parsed log line.
type line struct {
	at         time.Time
	host       string
	event      string
	causalRank int
	// fields are the other fields as sorted name=value pairs, without empty strings
	// and zeros.
	fields string
}

// maxLineBytes is the longest accepted log line.
const maxLineBytes = 1 << 20

// causalRanks orders events whose times differ by no more than the clock skew: a cause
// has a lower rank than its effects.
var causalRanks = map[string]int{
	"job refused": 0, "job submitted": 1, "work moved": 1, "location wait begun": 1, "location wait paid": 1, "location wait lost": 1, "tasks started": 2, "start refused": 3, "start unanswered": 3,
	"run stalled": 4, "task waits": 4, "unanswered start over": 4, "open start listed": 4, "second run found": 4, "run ended": 5, "checkpoint unused": 5, "checkpoint missing": 5, "job cancelled": 6, "job given up": 6, "job ended": 7,
}

// hostEvents are events that may affect every job of a host, shard or worker.
var hostEvents = []string{
	"host starts", "host drains", "host stops", "shard taken", "shard lost", "shard handed over", "orphaned shard released", "worker gone",
	"takeover begun", "takeover resolved", "long-running tasks of earlier owners over", "starts not announced", "leases left behind",
	"leases not left behind", "capacities of workers", "evacuations not known",
	"worker restarted", "worker clock went back", "start answered by another clock", "worker drains", "worker quarantined", "store lost", "store regained", "session not renewed", "configuration read",
}

// Run prints the timeline of the job: per line the time of day in UTC, the seconds since
// the first line, the host, the event and its fields.
func (o *Options) Run(_ context.Context, f *factory.Factory) error {
	lines, err := o.read(f)
	if err != nil {
		return err
	}
	timeline := o.timeline(lines)
	if len(timeline) == 0 {
		return exitcode.UsageErrorf("no log line mentions job %s: check the id, and give the logs of all hosts", o.ID)
	}
	first := timeline[0].at
	for _, l := range timeline {
		fmt.Fprintf(f.IO.Out, "%s  %+8.3fs  %-22s  %-20s  %s\n", l.at.UTC().Format("15:04:05.000"), l.at.Sub(first).Seconds(), l.host, l.event, l.fields)
	}
	return nil
}

func (o *Options) read(f *factory.Factory) ([]line, error) {
	if len(o.Files) == 0 {
		return parse(f.IO.In)
	}
	var all []line
	for _, name := range o.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, exitcode.UsageErrorf("cannot read %s: %s", name, err)
		}
		lines, err := parse(file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// parse reads JSON log lines. It ignores text before the first brace, which log
// collectors may add, and lines without valid JSON. A line longer than maxLineBytes is
// an error.
func parse(r io.Reader) ([]line, error) {
	var out []line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 {
			continue
		}
		var fields map[string]any
		d := json.NewDecoder(strings.NewReader(text[brace:]))
		// The field run identifies a run in other logs too, so it is printed in full: as a
		// float64 it would lose precision and 666894619 would become 6.66894619e+08.
		d.UseNumber()
		if err := d.Decode(&fields); err != nil {
			continue
		}
		out = append(out, newLine(fields))
	}
	return out, s.Err()
}

func newLine(fields map[string]any) line {
	text := func(name string) string {
		s, _ := fields[name].(string)
		return s
	}
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil {
		at = time.Time{}
	}
	l := line{at: at, host: text("host"), event: text("msg")}
	l.causalRank = causalRanks[l.event]
	for _, name := range []string{"level", "time", "msg", "host", "domain"} {
		delete(fields, name)
	}
	names := make([]string, 0, len(fields))
	for name, v := range fields {
		if v != "" && v != json.Number("0") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	l.fields = strings.Join(parts, " ")
	return l
}

// timeline returns the lines that mention the job, with host events if requested, sorted
// by time and, within MaxClockSkew, by causal rank.
func (o *Options) timeline(lines []line) []line {
	var jobLines []line
	for _, l := range lines {
		if strings.Contains(l.fields, o.ID) {
			jobLines = append(jobLines, l)
		}
	}
	if o.WithHostEvents && len(jobLines) > 0 {
		jobLines = append(jobLines, o.nearbyHostEvents(lines, jobLines)...)
	}
	slices.SortStableFunc(jobLines, func(a, b line) int {
		if d := a.at.Sub(b.at); d.Abs() > o.MaxClockSkew {
			return a.at.Compare(b.at)
		}
		return a.causalRank - b.causalRank
	})
	return jobLines
}

// nearbyHostEvents returns the host events from leadTime before the first line of a job
// to its last line.
func (o *Options) nearbyHostEvents(lines, jobLines []line) []line {
	const leadTime = 5 * time.Second
	from, to := jobLines[0].at, jobLines[0].at
	for _, l := range jobLines {
		if l.at.Before(from) {
			from = l.at
		}
		if l.at.After(to) {
			to = l.at
		}
	}
	var out []line
	for _, l := range lines {
		inWindow := !l.at.Before(from.Add(-leadTime)) && !l.at.After(to)
		if inWindow && slices.Contains(hostEvents, l.event) {
			out = append(out, l)
		}
	}
	return out
}
