package settings

// Parser parses the settings of successive revisions. It keeps the services of
// the last valid one, so that a file that did not change is not parsed again. It
// is not safe for concurrent use; the zero value is ready.
type Parser struct {
	services map[fileKey]*Service
}

type fileKey struct{ path, digest string }

// Parse reads and validates the files, each of itself and all together, like
// ParseFiles. text returns the content of a file and is not called for files
// that are known. The error is that of text or an *InvalidError.
func (p *Parser) Parse(files []File, text func(File) (string, error)) (*Set, error) {
	known := make(map[fileKey]*Service, len(files))
	services := make([]*Service, 0, len(files))
	for _, f := range files {
		key := fileKey{f.Path, f.digest()}
		service := p.services[key]
		if service == nil {
			content, err := text(f)
			if err != nil {
				return nil, err
			}
			parsed := parseService(f.Path, content)
			if len(parsed.problems) > 0 {
				return p.parseAll(files, text)
			}
			service = parsed.service
		}
		known[key] = service
		services = append(services, service)
	}
	if !agree(services) {
		return p.parseAll(files, text)
	}
	p.services = known
	return NewSet(services), nil
}

// parseAll finds all problems with their positions, which known services do not
// keep.
func (p *Parser) parseAll(files []File, text func(File) (string, error)) (*Set, error) {
	full := make([]File, 0, len(files))
	for _, f := range files {
		content, err := text(f)
		if err != nil {
			return nil, err
		}
		full = append(full, File{Path: f.Path, Text: content})
	}
	return ParseFiles(full)
}

// agree reports whether checkTogether finds nothing in services that are valid
// each of itself.
func agree(services []*Service) bool {
	names := make(map[string]bool, len(services))
	ids := make(map[string]Placement)
	addresses := make(map[string]string)
	for _, s := range services {
		if names[s.Name] {
			return false
		}
		names[s.Name] = true
		for _, u := range s.AllSearchers() {
			if id, ok := addresses[u.Address]; ok && id != u.ID {
				return false
			}
			addresses[u.Address] = u.ID
			first, ok := ids[u.ID]
			if ok && (first.Searcher != u || first.Service.Limits != s.Limits) {
				return false
			}
			ids[u.ID] = Placement{Searcher: u, Service: s}
		}
	}
	return true
}
