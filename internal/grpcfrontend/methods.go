package grpcfrontend

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"cherrygap/internal/settings"
)

// ErrNoPathPart is the error of a class whose name can't be part of a path.
var ErrNoPathPart = errors.New("is no path part")

// HTTPMethods returns the HTTP method of each class in the settings: GET for safe classes, POST for others. The error wraps
// ErrNoPathPart.
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
