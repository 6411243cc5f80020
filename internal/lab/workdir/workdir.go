// Package workdir makes the folder in which a run of the laboratory keeps its children's configuration files and logs.
package workdir

import "os"

// Open makes the folder at a path, which stays, or where the path is empty a new one, which remove removes.
func Open(path, pattern string) (dir string, remove func(), err error) {
	if path != "" {
		return path, func() {}, os.MkdirAll(path, 0o700)
	}
	dir, err = os.MkdirTemp("", pattern)
	return dir, func() { _ = os.RemoveAll(dir) }, err
}
