// Command housecheck reports violations of project conventions that the formatter
// and the linter do not check: bare go statements, internal/ folders, imports of
// os/exec outside of tests, and tests in the package that they test. It prints one
// line per violation and exits with status 1 if there are any, 2 if the check fails.
//
// # Usage
//
//	cd tools && go run ./housecheck ..
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	problems, err := check(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for _, p := range problems {
		fmt.Println(p)
	}
	if len(problems) > 0 {
		os.Exit(1)
	}
}

// check walks all Go files under root and returns the violations.
func check(root string) ([]string, error) {
	var problems []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if d.Name() == ".git" {
				return filepath.SkipDir
			}
			if d.Name() == "internal" {
				problems = append(problems, path+": internal/ folder: move the package to the module root")
			}
			return nil
		}
		if strings.HasSuffix(path, ".go") {
			found, err := checkFile(path)
			problems = append(problems, found...)
			return err
		}
		return nil
	})
	return problems, err
}

func checkFile(path string) ([]string, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var problems []string
	report := func(pos token.Pos, text string) {
		problems = append(problems, fmt.Sprintf("%s: %s", fset.Position(pos), text))
	}
	isTest := strings.HasSuffix(path, "_test.go")
	if isTest && !strings.HasSuffix(file.Name.Name, "_test") {
		report(file.Name.Pos(), "test in the package under test: use package "+file.Name.Name+"_test")
	}
	for _, imp := range file.Imports {
		if imp.Path.Value == `"os/exec"` && !isTest {
			report(imp.Pos(), "os/exec: the product must not start other processes")
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if g, ok := n.(*ast.GoStmt); ok {
			report(g.Pos(), "bare go statement: start the goroutine through a conc group")
		}
		return true
	})
	return problems, nil
}
