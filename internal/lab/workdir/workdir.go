// Package workdir creates the folder of a run of the laboratory, for its children's configuration files and logs.
package workdir

import "os"

// Open creates the folder at path, unless it exists, and returns path. For an empty path it creates a temporary folder with
// a name by pattern (see os.MkdirTemp). remove removes a temporary folder and does nothing for others. It is not nil, also
// if Open fails.
func Open(path, pattern string) (dir string, remove func(), err error) {
	if path != "" {
		return path, func() {}, os.MkdirAll(path, 0o700)
	}
	dir, err = os.MkdirTemp("", pattern)
	return dir, func() { _ = os.RemoveAll(dir) }, err
}
