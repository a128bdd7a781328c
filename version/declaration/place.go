package declaration

import (
	"strings"

	"github.com/goccy/go-yaml/ast"

	"heatherhub.example/heatherhub"
)

// location is the position of an item in the declarations.
type location struct {
	file string
	line int
}

// itemLocations maps the kind and id of an item, such as "workload compile", to all
// locations at which it is declared.
type itemLocations map[string][]location

// add records the locations of the items of a document. It does nothing unless ok, which
// reports whether the document was decoded.
func (l itemLocations) add(ok bool, file string, body ast.Node, kind string, ids []string) {
	if !ok {
		return
	}
	nodes := itemNodes(body)
	for i, id := range ids {
		line := 0
		if i < len(nodes) && nodes[i].GetToken() != nil {
			line = nodes[i].GetToken().Position.Line
		}
		key := kind + " " + id
		l[key] = append(l[key], location{file: file, line: line})
	}
}

// itemNodes returns the entries of the items list of a document.
func itemNodes(body ast.Node) []ast.Node {
	entries, _ := mappingEntries(body)
	for _, e := range entries {
		if s, ok := e.Value.(*ast.SequenceNode); ok && e.Key.String() == "items" {
			return s.Values
		}
	}
	return nil
}

// checkSet reports the errors that the YAML types do not show: duplicate names,
// references to undeclared items, and values out of range.
func (l itemLocations) checkSet(s *Set) Problems {
	snapshot := heatherhub.Snapshot{Teams: s.Teams, Workloads: s.Workloads, Presets: s.Presets, InForce: s.Initial}
	if s.Initial == "" && len(s.Presets) > 0 {
		snapshot.InForce = s.Presets[0].ID
	}
	var problems Problems
	for _, err := range snapshot.Check() {
		problems = append(problems, l.locate(heatherhub.Message(err)))
	}
	return problems
}

// locate returns the problem for a message that begins with the kind and id of an item.
// If the item is declared more than once, the problem has its last location.
func (l itemLocations) locate(message string) Problem {
	head, rest, found := strings.Cut(message, ": ")
	if detail, ok := strings.CutPrefix(message, "inForce "); ok {
		return Problem{Field: "initial", Message: detail}
	}
	if !found {
		return Problem{Message: message}
	}
	key := strings.ReplaceAll(head, `"`, "")
	key = strings.TrimSuffix(key, " is declared twice")
	key = strings.Replace(key, " id ", " ", 1)
	declared, ok := l[key]
	if !ok || len(declared) == 0 {
		return Problem{Message: message}
	}
	last := declared[len(declared)-1]
	problem := Problem{File: last.file, Line: last.line, Field: key, Message: rest}
	if strings.HasSuffix(head, "is declared twice") {
		problem.Message = "the name is declared twice: " + rest
	}
	return problem
}
