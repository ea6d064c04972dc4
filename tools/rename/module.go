package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"golang.org/x/tools/go/packages"
)

// place is a position that is the same in all variants of a package, with and without its tests.
type place struct {
	file   string // relative to the module's root, or absolute outside it
	offset int
}

// module is a loaded module: its syntax, and what each identifier resolves to.
type module struct {
	root     string
	fileSet  *token.FileSet
	packages []*packages.Package
	files    map[string]*ast.File
	owners   map[string]*packages.Package // a package of each file
}

// loadModule loads all packages below root with their tests. It fails if one does not compile.
func loadModule(root string) (*module, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	if root, err = filepath.EvalSymlinks(root); err != nil {
		return nil, err
	}
	m := &module{root: root, fileSet: token.NewFileSet(), files: map[string]*ast.File{}, owners: map[string]*packages.Package{}}
	config := &packages.Config{
		Mode:  packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports | packages.NeedDeps,
		Dir:   root,
		Fset:  m.fileSet,
		Tests: true,
		// The caller may have set GOFLAGS or -C for the module of the tools.
		Env: append(os.Environ(), "GOFLAGS=-mod=readonly", "PWD="+root),
	}
	loaded, err := packages.Load(config, "./...")
	if err != nil {
		return nil, err
	}
	for _, pkg := range loaded {
		if len(pkg.Errors) > 0 {
			return nil, fmt.Errorf("%s: %v", pkg.ID, pkg.Errors[0])
		}
		if strings.HasSuffix(pkg.ID, ".test") {
			continue // a generated main
		}
		m.packages = append(m.packages, pkg)
		for _, file := range pkg.Syntax {
			name := m.placeOf(file.Pos()).file
			m.files[name], m.owners[name] = file, pkg
		}
	}
	return m, nil
}

func (m *module) placeOf(pos token.Pos) place {
	position := m.fileSet.Position(pos)
	if inside, err := filepath.Rel(m.root, position.Filename); err == nil && !strings.HasPrefix(inside, "..") {
		return place{inside, position.Offset}
	}
	return place{position.Filename, position.Offset}
}

// eachIdentifier calls visit for the identifiers of each file in their order, imports excepted, with the object
// that the identifier defines or uses; nil for the name of a package clause and the like.
func (m *module) eachIdentifier(visit func(file string, identifier *ast.Ident, object types.Object)) {
	for _, name := range m.fileNames() {
		info := m.owners[name].TypesInfo
		ast.Inspect(m.files[name], func(node ast.Node) bool {
			if _, ok := node.(*ast.ImportSpec); ok {
				return false
			}
			if identifier, ok := node.(*ast.Ident); ok {
				visit(name, identifier, objectOf(info, identifier))
			}
			return true
		})
	}
}

func (m *module) fileNames() []string {
	names := make([]string, 0, len(m.files))
	for name := range m.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// objectOf prefers what an identifier uses: the name of an embedded field uses its type.
func objectOf(info *types.Info, identifier *ast.Ident) types.Object {
	if used := info.Uses[identifier]; used != nil {
		return used
	}
	return info.Defs[identifier]
}

// bindings are the declarations that the identifiers of each file resolve to, in order.
func (m *module) bindings() map[string][]string {
	ordinals := map[place]int{}
	count := map[string]int{}
	m.eachIdentifier(func(file string, identifier *ast.Ident, _ types.Object) {
		ordinals[m.placeOf(identifier.Pos())] = count[file]
		count[file]++
	})
	bindings := map[string][]string{}
	m.eachIdentifier(func(file string, identifier *ast.Ident, object types.Object) {
		bindings[file] = append(bindings[file], m.binding(object, ordinals))
	})
	return bindings
}

func (m *module) binding(object types.Object, ordinals map[place]int) string {
	switch {
	case object == nil:
		return "none"
	case !object.Pos().IsValid():
		return "predeclared " + object.Name()
	}
	if pkg, ok := object.(*types.PkgName); ok {
		return "package " + pkg.Imported().Path()
	}
	at := m.placeOf(object.Pos())
	if ordinal, ok := ordinals[at]; ok {
		return fmt.Sprintf("%s#%d", at.file, ordinal)
	}
	return fmt.Sprintf("%s %s", at.file, object.Name())
}

// differencesBetween returns the first difference of each file.
func differencesBetween(before, after map[string][]string) (differences []string) {
	for file, old := range before {
		now, ok := after[file]
		switch {
		case !ok:
			differences = append(differences, file+": missing")
		case len(old) != len(now):
			differences = append(differences, fmt.Sprintf("%s: %d identifiers, now %d", file, len(old), len(now)))
		default:
			for at := range old {
				if old[at] != now[at] {
					differences = append(differences, fmt.Sprintf("%s: identifier %d was %s, is %s", file, at, old[at], now[at]))
					break
				}
			}
		}
	}
	for file := range after {
		if _, ok := before[file]; !ok {
			differences = append(differences, file+": new")
		}
	}
	slices.Sort(differences)
	return differences
}
