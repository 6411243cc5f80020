// Package workdir creates the directory of a run of the laboratory. The directory holds the configuration files and logs of
// the run's child processes.
package workdir

import "os"

// Open creates the directory at path, unless it exists, and returns path. For an empty path it creates a temporary directory
// whose name follows pattern (see os.MkdirTemp). remove removes a temporary directory and does nothing for others. It is
// never nil, even if Open fails.
func Open(path, pattern string) (dir string, remove func(), err error) {
	if path != "" {
		return path, func() {}, os.MkdirAll(path, 0o700)
	}
	dir, err = os.MkdirTemp("", pattern)
	return dir, func() { _ = os.RemoveAll(dir) }, err
}
