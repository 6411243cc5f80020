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

// HTTPMethods returns the HTTP method of each class by its name: GET where a request is safe to repeat, POST else. It reads
// the classes up to the first one without a name. The error is ErrNoPathPart with the class's name.
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
			return nil, fmt.Errorf("band %s %w", class.Name, ErrNoPathPart)
		}
	}
}
