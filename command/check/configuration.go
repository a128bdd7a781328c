package check

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/command/exitcode"
	"heatherhub.example/heatherhub/command/output"
	"heatherhub.example/heatherhub/command/streams"
	"heatherhub.example/heatherhub/platform"
	"heatherhub.example/heatherhub/version/queues"
)

// kindProblem is the kind of a finding that is a problem. The other kinds are those of
// queues.Op.
const kindProblem = "problem"

// finding is one problem, or one difference from the configuration in force.
type finding struct {
	kind string
	// file and path have the place of a problem.
	file, path string
	queue      heatherhub.QueueID
	field      queues.Field
	old, new   string
	message    string
}

// String returns the problem as file: path (queue): message, without the empty parts.
func (f finding) String() string {
	place := f.path
	if f.queue != "" {
		place += fmt.Sprintf(" (queue %q)", string(f.queue))
	}
	if place == "" {
		return f.file + ": " + f.message
	}
	return f.file + ": " + place + ": " + f.message
}

var columns = []output.Column[finding]{
	{Name: "kind", Value: func(f finding) any { return f.kind }},
	{Name: "queue", Value: func(f finding) any { return f.queue }},
	{Name: "field", Value: func(f finding) any { return f.field }},
	{Name: "old", Value: func(f finding) any { return f.old }},
	{Name: "new", Value: func(f finding) any { return f.new }},
	{Name: "file", Value: func(f finding) any { return f.file }, JSONOnly: true},
	{Name: "path", Value: func(f finding) any { return f.path }, JSONOnly: true},
	{Name: "message", Value: func(f finding) any { return f.message }, JSONOnly: true},
}

// checkConfiguration reports the problems of a configuration and what differs from the one
// in force. Both are on standard output with --json; else problems are on standard error,
// one per line.
func (o *Options) checkConfiguration(s *streams.IO) error {
	if o.Dir != "" || o.SettingsFile != "" {
		return exitcode.UsageErrorf("--configuration cannot be combined with -f or --settings: check one at a time")
	}
	pools, err := parsePools(o.Pools)
	if err != nil {
		return err
	}
	candidate := queues.Candidate{Pools: pools}
	candidate.Table, candidate.Decoding = readTable(o.Configuration, platform.ReadTable)
	var inForceProblems []queues.Problem
	if o.InForce != "" {
		var inForce *queues.Table
		inForce, inForceProblems = readTable(o.InForce, platform.ReadTableInForce)
		if len(inForceProblems) == 0 {
			candidate.InForce = inForce
		}
	}
	var changes []queues.Change
	isComparable := candidate.InForce != nil && len(candidate.Decoding) == 0
	if isComparable {
		changes = queues.Diff(candidate.InForce, candidate.Table)
	}
	problems := append(problemFindings(o.Configuration, candidate.Check()), problemFindings(o.InForce, inForceProblems)...)
	if err := o.showFindings(s, problems, changes); err != nil {
		return err
	}
	switch {
	case o.InForce != "" && !isComparable:
		return exitcode.UsageErrorf("problems: %d; the configurations were not compared, as one cannot be decoded", len(problems))
	case len(problems) > 0:
		return exitcode.UsageErrorf("problems: %d; do not send %s", len(problems), o.Configuration)
	case o.JSON == "":
		fmt.Fprintf(s.Out, "%s: version %d, %d queues: valid\n", o.Configuration, candidate.Table.Version, len(candidate.Table.Queues))
	}
	return nil
}

func (o *Options) showFindings(s *streams.IO, problems []finding, changes []queues.Change) error {
	rows := changeFindings(changes)
	if o.JSON != "" {
		return output.Print(s, o.Format, columns, append(problems, rows...))
	}
	for _, p := range problems {
		fmt.Fprintln(s.Err, p)
	}
	if len(rows) == 0 {
		return nil
	}
	return output.Print(s, o.Format, columns, rows)
}

func problemFindings(file string, problems []queues.Problem) []finding {
	var list []finding
	for _, p := range problems {
		list = append(list, finding{kind: kindProblem, file: file, path: platform.TablePath(p), queue: p.Queue, field: p.Field, message: p.Message})
	}
	return list
}

func changeFindings(changes []queues.Change) []finding {
	var list []finding
	for _, c := range changes {
		list = append(list, finding{kind: string(c.Op), queue: c.Queue, field: c.Field, old: c.From, new: c.To})
	}
	return list
}

// readTable decodes a file. One that cannot be read is a problem like one that cannot be
// decoded, so that the problems of the other file are reported as well.
func readTable(file string, decode func([]byte) (*queues.Table, []queues.Problem)) (*queues.Table, []queues.Problem) {
	value, err := os.ReadFile(file)
	if err != nil {
		var pathErr *fs.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		return nil, []queues.Problem{{Index: queues.NoIndex, Message: "cannot be read: " + err.Error()}}
	}
	return decode(value)
}

// parsePools splits the names of pools, which are separated by commas. No text gives nil.
func parsePools(text string) ([]heatherhub.PoolID, error) {
	if text == "" {
		return nil, nil
	}
	var pools []heatherhub.PoolID
	for _, name := range strings.Split(text, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			return nil, exitcode.UsageErrorf("--pools %q has an empty name: separate the names by single commas", text)
		}
		pools = append(pools, heatherhub.PoolID(name))
	}
	return pools, nil
}
