// Rename renames Go identifiers by what they resolve to, in all packages and tests of a module at once.
//
// Usage, from the root of the module, with names read from files or from standard input:
//
//	go -C tools run ./rename -root .. NAMES...
//	go -C tools run ./rename -compare BEFORE AFTER
//
// A line of names is an identifier and its new name:
//
//	internal/leader.Leader          Coordinator
//	internal/leader.Leader.tick     runTick
//	internal/leader.Leader.tick:far distant
//	internal/leader.newLeader:cfg   config
//
// The part before the first dot behind the last slash is the package's directory. A name behind a colon is a
// parameter, a result or a variable inside the function; all of that name inside it are renamed. The same
// identifier in the package's tests is found under the same path.
//
// An identifier written to the outside by reflection keeps its outer name only if it has a struct tag.
//
// After a renaming each identifier has to resolve to the same declaration as before; otherwise the files are
// put back and the program fails. With -compare it checks this for two checkouts of the module: the same files
// with the same sequence of identifiers, each of which resolves to the same declaration.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"strings"
)

func main() {
	log.SetFlags(0)
	root := flag.String("root", ".", "root of the module")
	compare := flag.Bool("compare", false, "compare two checkouts instead of renaming")
	flag.Parse()
	var err error
	if *compare {
		err = compareCheckouts(flag.Args())
	} else {
		err = renameAll(*root, flag.Args())
	}
	if err != nil {
		log.Fatal("rename: ", err)
	}
}

// request is an identifier and its new name.
type request struct {
	directory string   // of the package, relative to the module's root
	path      []string // package-level name, then a member of it
	local     string   // name inside the function, or ""
	newName   string
}

func (r request) String() string {
	name := r.directory + "." + strings.Join(r.path, ".")
	if r.local != "" {
		name += ":" + r.local
	}
	return name
}

func (r request) oldName() string {
	if r.local != "" {
		return r.local
	}
	return r.path[len(r.path)-1]
}

// readRequests reads the files, or standard input if there are none.
func readRequests(files []string) (requests []request, err error) {
	if len(files) == 0 {
		return parseRequests(os.Stdin)
	}
	for _, path := range files {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		parsed, err := parseRequests(file)
		_ = file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		requests = append(requests, parsed...)
	}
	return requests, nil
}

func parseRequests(from io.Reader) (requests []request, err error) {
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		line, _, _ := strings.Cut(lines.Text(), "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != 2 {
			return nil, fmt.Errorf("%q is not a name and a new name", line)
		}
		name, local, _ := strings.Cut(fields[0], ":")
		slash := strings.LastIndex(name, "/") + 1
		parts := strings.Split(name[slash:], ".")
		if len(parts) < 2 || len(parts) > 3 {
			return nil, fmt.Errorf("%q is not directory.name or directory.name.member", fields[0])
		}
		requests = append(requests, request{name[:slash] + parts[0], parts[1:], local, fields[1]})
	}
	return requests, lines.Err()
}

func compareCheckouts(roots []string) error {
	if len(roots) != 2 {
		return fmt.Errorf("usage: rename -compare BEFORE AFTER")
	}
	before, err := loadModule(roots[0])
	if err != nil {
		return err
	}
	after, err := loadModule(roots[1])
	if err != nil {
		return err
	}
	differences := differencesBetween(before.bindings(), after.bindings())
	for _, difference := range differences {
		fmt.Println(difference)
	}
	if len(differences) > 0 {
		return fmt.Errorf("%d differences", len(differences))
	}
	fmt.Printf("%d files: every identifier resolves to the same declaration\n", len(after.files))
	return nil
}
