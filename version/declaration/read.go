package declaration

import (
	"errors"
	"io/fs"
	"path"
	"reflect"
	"sort"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"heatherhub.example/heatherhub"
)

// MaxFileBytes is the maximum size of a declaration file, in bytes.
const MaxFileBytes = 4_000_000

// header contains the fields that every document has.
type header struct {
	APIVersion string `yaml:"apiVersion"`
	Kind       Kind   `yaml:"kind"`
}

type workloadList struct {
	APIVersion string                `yaml:"apiVersion"`
	Kind       Kind                  `yaml:"kind"`
	Items      []heatherhub.Workload `yaml:"items"`
}

type teamList struct {
	APIVersion string            `yaml:"apiVersion"`
	Kind       Kind              `yaml:"kind"`
	Items      []heatherhub.Team `yaml:"items"`
}

type presetList struct {
	APIVersion string              `yaml:"apiVersion"`
	Kind       Kind                `yaml:"kind"`
	Initial    heatherhub.PresetID `yaml:"initial"`
	Items      []heatherhub.Preset `yaml:"items"`
}

// reader collects the items and problems of all files.
type reader struct {
	set       Set
	problems  Problems
	locations itemLocations
}

// ReadDir reads every .yaml and .yml file of a directory, in order of name, and checks
// the resulting set. The error is a Problems or another heatherhub.ErrInvalid.
func ReadDir(dir fs.FS) (*Set, error) {
	names, err := declarationFiles(dir)
	if err != nil {
		return nil, err
	}
	r := reader{locations: make(itemLocations)}
	for _, name := range names {
		data, err := fs.ReadFile(dir, name)
		if err != nil {
			return nil, heatherhub.ErrInvalid.Wrap(err, "cannot read %s: check that it is a readable file", name)
		}
		r.readFile(name, data)
	}
	return r.finish()
}

// Read parses and checks the content of one file. The name is used in messages.
func Read(name string, data []byte) (*Set, error) {
	r := reader{locations: make(itemLocations)}
	r.readFile(name, data)
	return r.finish()
}

func declarationFiles(dir fs.FS) ([]string, error) {
	entries, err := fs.ReadDir(dir, ".")
	if err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot read the declarations: name a directory that exists")
	}
	var names []string
	for _, e := range entries {
		if ext := path.Ext(e.Name()); !e.IsDir() && (ext == ".yaml" || ext == ".yml") {
			names = append(names, e.Name())
		}
	}
	if len(names) == 0 {
		return nil, heatherhub.ErrInvalid.New("the directory contains no .yaml or .yml file: use the directory with the declarations")
	}
	sort.Strings(names)
	return names, nil
}

// finish checks the set as a whole if its files have no problems, and returns it.
func (r *reader) finish() (*Set, error) {
	if len(r.problems) == 0 {
		r.problems = r.locations.checkSet(&r.set)
	}
	if err := r.problems.asError(); err != nil {
		return nil, err
	}
	return &r.set, nil
}

// readFile parses the documents of one file.
func (r *reader) readFile(name string, data []byte) {
	if len(data) > MaxFileBytes {
		r.problems = append(r.problems, Problem{File: name, Message: "the file is larger than 4 MB: split it"})
		return
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.problems = append(r.problems, syntaxProblem(name, err))
		return
	}
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			r.readDocument(name, doc.Body)
		}
	}
}

// syntaxProblem converts an error of the YAML parser, with its line if it has one.
func syntaxProblem(name string, err error) Problem {
	p := Problem{File: name, Message: "this is not YAML: " + err.Error()}
	var e yaml.Error
	if errors.As(err, &e) {
		p.Message = "this is not YAML: " + e.GetMessage()
		if t := e.GetToken(); t != nil && t.Position != nil {
			p.Line = t.Position.Line
		}
	}
	return p
}

// readDocument decodes one document according to its kind.
func (r *reader) readDocument(name string, body ast.Node) {
	w := walker{file: name}
	h := readHeader(body)
	switch {
	case h.APIVersion != APIVersion:
		w.report(body, "apiVersion", "%q is not supported: write apiVersion: %s", h.APIVersion, APIVersion)
	case h.Kind == KindWorkloads:
		list, ok := decode[workloadList](&w, body)
		r.set.Workloads = append(r.set.Workloads, list.Items...)
		r.locations.add(ok, name, body, "workload", ids(list.Items, func(i heatherhub.Workload) string { return string(i.ID) }))
	case h.Kind == KindTeams:
		list, ok := decode[teamList](&w, body)
		r.set.Teams = append(r.set.Teams, list.Items...)
		r.locations.add(ok, name, body, "team", ids(list.Items, func(i heatherhub.Team) string { return string(i.ID) }))
	case h.Kind == KindPresets:
		list, ok := decode[presetList](&w, body)
		r.set.Presets = append(r.set.Presets, list.Items...)
		r.locations.add(ok, name, body, "preset", ids(list.Items, func(i heatherhub.Preset) string { return string(i.ID) }))
		r.setInitial(&w, body, list.Initial)
	default:
		w.report(body, "kind", "%q is unknown: use %s, %s or %s", h.Kind, KindWorkloads, KindTeams, KindPresets)
	}
	r.problems = append(r.problems, w.problems...)
}

// setInitial records the initial preset. Two documents must not name different ones.
func (r *reader) setInitial(w *walker, body ast.Node, id heatherhub.PresetID) {
	if id == "" {
		return
	}
	if r.set.Initial != "" && r.set.Initial != id {
		w.report(body, "initial", "both %q and %q are declared as initial: keep one", r.set.Initial, id)
	}
	r.set.Initial = id
}

// readHeader returns the header fields of a document and ignores all other fields.
func readHeader(body ast.Node) header {
	var h header
	entries, _ := mappingEntries(body)
	for _, e := range entries {
		s, ok := e.Value.(*ast.StringNode)
		if !ok {
			continue
		}
		switch e.Key.String() {
		case "apiVersion":
			h.APIVersion = s.Value
		case "kind":
			h.Kind = Kind(s.Value)
		}
	}
	return h
}

// decode checks a document against type T and decodes it if there are no problems.
func decode[T any](w *walker, body ast.Node) (T, bool) {
	var list T
	w.walk(body, reflect.TypeFor[T](), "")
	if len(w.problems) > 0 {
		return list, false
	}
	if err := yaml.NodeToValue(body, &list, yaml.Strict()); err != nil {
		p := syntaxProblem(w.file, err)
		w.problems = append(w.problems, p)
		return list, false
	}
	return list, true
}

// ids returns the id of each item.
func ids[T any](items []T, id func(T) string) []string {
	out := make([]string, len(items))
	for i, item := range items {
		out[i] = id(item)
	}
	return out
}
