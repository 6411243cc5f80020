package grpcfrontend

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"cherrygap/internal/settings"
)

// ErrInvalidPathSegment is the error for a class whose name cannot be a segment of a URL path.
var ErrInvalidPathSegment = errors.New("name is not a path segment")

// HTTPMethods returns the HTTP method of each class by its name: GET if a request is safe to retry, otherwise POST. It reads
// the classes up to the first one without a name. The error wraps ErrInvalidPathSegment and names the class.
func HTTPMethods(set *settings.Settings) (map[string]string, error) {
	methods := map[string]string{}
	for i := 0; ; i++ {
		class := set.Classes.At(i)
		if !class.Named {
			return methods, nil
		}
		methods[class.Name] = http.MethodPost
		if class.RetrySafety == settings.RetrySafe {
			methods[class.Name] = http.MethodGet
		}
		if strings.ContainsAny(class.Name, "/ ?#%") {
			return nil, fmt.Errorf("class %q: %w", class.Name, ErrInvalidPathSegment)
		}
	}
}
