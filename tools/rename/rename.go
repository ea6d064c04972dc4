package main

import (
	"errors"
	"fmt"
	"go/ast"
	"go/format"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"golang.org/x/tools/go/packages"
)

// edit replaces length bytes at an offset of a file.
type edit struct {
	offset, length int
	text           string
}

// renaming is one run over a module.
type renaming struct {
	*module
	targets map[place]string // declarations and their new names
	edits   map[string][]edit
}

func renameAll(root string, files []string) error {
	requests, err := readRequests(files)
	if err != nil {
		return err
	}
	loaded, err := loadModule(root)
	if err != nil {
		return err
	}
	r := &renaming{module: loaded, targets: map[place]string{}, edits: map[string][]edit{}}
	for _, request := range requests {
		if err := r.resolve(request); err != nil {
			return err
		}
	}
	r.editIdentifiers()
	r.editComments(requests)
	before := loaded.bindings()
	original, err := r.apply()
	if err != nil {
		return errors.Join(err, restore(original))
	}
	renamed, err := loadModule(root)
	if err != nil {
		return errors.Join(err, restore(original))
	}
	if differences := differencesBetween(before, renamed.bindings()); len(differences) > 0 {
		return errors.Join(fmt.Errorf("a new name is taken already: %s", strings.Join(differences, "; ")), restore(original))
	}
	fmt.Printf("%d names in %d files\n", len(requests), len(original))
	return nil
}

// resolve adds the declarations that a request names.
func (r *renaming) resolve(request request) error {
	if !token.IsIdentifier(request.newName) {
		return fmt.Errorf("%s: %q is not an identifier", request, request.newName)
	}
	found := false
	for _, pkg := range r.packages {
		if r.directoryOf(pkg) != request.directory {
			continue
		}
		object := lookUp(pkg.Types.Scope(), request.path)
		if object == nil {
			continue
		}
		if request.local == "" {
			found = true
			r.targets[r.placeOf(object.Pos())] = request.newName
		} else if r.resolveLocals(pkg, object, request) {
			found = true
		}
	}
	if !found {
		return fmt.Errorf("%s: no such identifier", request)
	}
	return nil
}

func (r *renaming) directoryOf(pkg *packages.Package) string {
	if len(pkg.Syntax) == 0 {
		return ""
	}
	return filepath.ToSlash(filepath.Dir(r.placeOf(pkg.Syntax[0].Pos()).file))
}

func lookUp(scope *types.Scope, path []string) types.Object {
	object := scope.Lookup(path[0])
	if object == nil || len(path) == 1 {
		return object
	}
	member, _, _ := types.LookupFieldOrMethod(object.Type(), true, object.Pkg(), path[1])
	return member
}

// resolveLocals adds what a request names inside a function of the package.
func (r *renaming) resolveLocals(pkg *packages.Package, function types.Object, request request) (found bool) {
	for _, file := range pkg.Syntax {
		for _, declaration := range file.Decls {
			declared, ok := declaration.(*ast.FuncDecl)
			if !ok || declared.Name.Pos() != function.Pos() {
				continue
			}
			ast.Inspect(declared, func(node ast.Node) bool {
				identifier, ok := node.(*ast.Ident)
				if !ok || identifier.Name != request.local || identifier == declared.Name {
					return true
				}
				if _, defines := pkg.TypesInfo.Defs[identifier]; defines {
					found = true
					r.targets[r.placeOf(identifier.Pos())] = request.newName
				}
				return true
			})
		}
	}
	return found
}

// editIdentifiers finds all uses. An embedded field has the name of its type, so that it becomes a target when
// its type is one.
func (r *renaming) editIdentifiers() {
	for targets := 0; targets != len(r.targets); {
		targets = len(r.targets)
		r.eachIdentifier(func(file string, identifier *ast.Ident, object types.Object) {
			field, ok := r.owners[file].TypesInfo.Defs[identifier].(*types.Var)
			if !ok || !field.Embedded() || object == nil {
				return
			}
			if name, ok := r.targets[r.placeOf(object.Pos())]; ok {
				r.targets[r.placeOf(identifier.Pos())] = name
			}
		})
	}
	r.eachIdentifier(func(file string, identifier *ast.Ident, object types.Object) {
		at := r.placeOf(identifier.Pos())
		name, ok := r.targets[at]
		if !ok && object != nil && object.Pos().IsValid() {
			name, ok = r.targets[r.placeOf(object.Pos())]
		}
		if ok {
			r.edits[file] = append(r.edits[file], edit{at.offset, len(identifier.Name), name})
		}
	})
}

// editComments follows names in comments: qualified by their package everywhere, and in the package itself the
// first word of the doc comment. In the package's other comments only a name is followed that no English word can
// be, and that is not also the name of something else there.
func (r *renaming) editComments(requests []request) {
	for _, request := range requests {
		if request.local != "" {
			continue
		}
		old := regexp.QuoteMeta(request.oldName())
		isUnambiguous := mixedCaps.MatchString(request.oldName()) && !r.otherUses(request)
		for _, name := range r.fileNames() {
			inside := filepath.ToSlash(filepath.Dir(name)) == request.directory
			switch {
			case inside && isUnambiguous:
				r.replaceInComments(name, r.files[name].Comments, `\b`+old+`\b`, request.newName)
			case inside:
				r.replaceInComments(name, r.docComments(name, request), `^// `+old+`\b`, "// "+request.newName)
			case len(request.path) == 1:
				qualifier := filepath.Base(request.directory)
				r.replaceInComments(name, r.files[name].Comments, `\b`+regexp.QuoteMeta(qualifier)+`\.`+old+`\b`, qualifier+"."+request.newName)
			}
		}
	}
}

var mixedCaps = regexp.MustCompile(`[a-z][A-Z]`)

// otherUses reports whether the package declares something else under the same name.
func (r *renaming) otherUses(request request) (found bool) {
	r.eachIdentifier(func(file string, identifier *ast.Ident, _ types.Object) {
		if identifier.Name != request.oldName() || filepath.ToSlash(filepath.Dir(file)) != request.directory {
			return
		}
		if _, target := r.targets[r.placeOf(identifier.Pos())]; !target && r.owners[file].TypesInfo.Defs[identifier] != nil {
			found = true
		}
	})
	return found
}

// docComments returns the doc comments of the declarations of a file that a request renames.
func (r *renaming) docComments(file string, request request) (groups []*ast.CommentGroup) {
	add := func(doc *ast.CommentGroup, names ...*ast.Ident) {
		for _, name := range names {
			if _, target := r.targets[r.placeOf(name.Pos())]; target && doc != nil && name.Name == request.oldName() {
				groups = append(groups, doc)
			}
		}
	}
	ast.Inspect(r.files[file], func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			add(node.Doc, node.Name)
		case *ast.Field:
			add(node.Doc, node.Names...)
		case *ast.GenDecl:
			for _, spec := range node.Specs {
				switch spec := spec.(type) {
				case *ast.TypeSpec:
					add(node.Doc, spec.Name)
					add(spec.Doc, spec.Name)
				case *ast.ValueSpec:
					add(node.Doc, spec.Names...)
					add(spec.Doc, spec.Names...)
				}
			}
		}
		return true
	})
	return groups
}

func (r *renaming) replaceInComments(file string, groups []*ast.CommentGroup, pattern, replacement string) {
	matcher := regexp.MustCompile(pattern)
	for _, group := range groups {
		for _, comment := range group.List {
			for _, match := range matcher.FindAllStringIndex(comment.Text, -1) {
				r.edits[file] = append(r.edits[file], edit{r.placeOf(comment.Pos()).offset + match[0], match[1] - match[0], replacement})
			}
		}
	}
}

// apply writes the changed files, formatted, and returns what they held.
func (r *renaming) apply() (original map[string][]byte, err error) {
	original = map[string][]byte{}
	for name, edits := range r.edits {
		path := filepath.Join(r.root, name)
		source, err := os.ReadFile(path)
		if err != nil {
			return original, err
		}
		original[path] = source
		slices.SortFunc(edits, func(a, b edit) int { return a.offset - b.offset })
		edits = slices.CompactFunc(edits, func(a, b edit) bool { return a.offset == b.offset })
		changed, end := []byte(nil), 0
		for _, edit := range edits {
			if edit.offset < end {
				continue // overlaps the one before, in a comment
			}
			changed = append(changed, source[end:edit.offset]...)
			changed = append(changed, edit.text...)
			end = edit.offset + edit.length
		}
		if changed, err = format.Source(append(changed, source[end:]...)); err != nil {
			return original, err
		}
		if err := os.WriteFile(path, changed, 0o644); err != nil {
			return original, err
		}
	}
	return original, nil
}

func restore(original map[string][]byte) error {
	var failed []error
	for path, source := range original {
		failed = append(failed, os.WriteFile(path, source, 0o644))
	}
	return errors.Join(failed...)
}
