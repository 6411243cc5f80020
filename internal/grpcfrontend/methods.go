package grpcfrontend

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"cherrygap/internal/settings"
)

// ErrNoPathPart is a class whose name can't be part of a path.
var ErrNoPathPart = errors.New("is no path part")

// HTTPMethods is the HTTP method of each class, from the settings by the keys of package settings: GET where a request is safe to repeat,
// POST else. The error is ErrNoPathPart with the class's name.
func HTTPMethods(set map[string]string) (map[string]string, error) {
	methods := map[string]string{}
	for i := 0; ; i++ {
		name, ok := set[settings.ClassKey(i, settings.ClassName)]
		if !ok {
			return methods, nil
		}
		methods[name] = http.MethodPost
		if set[settings.ClassKey(i, settings.ClassRetrySafety)] == settings.RetrySafe {
			methods[name] = http.MethodGet
		}
		if strings.ContainsAny(name, "/ ?#%") {
			return nil, fmt.Errorf("band %s %w", name, ErrNoPathPart)
		}
	}
}
