package settings

import (
	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// ParseService reads one service settings file. path stands in errors.
func ParseService(path, text string) (*Service, error) {
	var s Service
	if err := yaml.UnmarshalWithOptions([]byte(text), &s, yaml.Strict()); err != nil {
		return nil, errors.Annotate(err, path)
	}
	return &s, nil
}

// ParseFiles reads the service settings files of one revision.
func ParseFiles(files []File) (*Set, error) {
	services := make([]*Service, 0, len(files))
	for _, f := range files {
		s, err := ParseService(f.Path, f.Text)
		if err != nil {
			return nil, err
		}
		services = append(services, s)
	}
	return NewSet(services), nil
}

// ParseProcess reads the settings file of a daemon. path stands in errors.
func ParseProcess(path, text string) (*Process, error) {
	var p Process
	if err := yaml.UnmarshalWithOptions([]byte(text), &p, yaml.Strict()); err != nil {
		return nil, errors.Annotate(err, path)
	}
	return &p, nil
}
