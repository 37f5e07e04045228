package settings

// Parser parses the settings of successive revisions. It keeps the last valid
// ones, so that a service whose file did not change is neither parsed nor indexed
// again. It is not safe for concurrent use; the zero value is ready.
type Parser struct {
	services map[fileKey]placedService
	index    *index
}

type fileKey struct{ path, digest string }

// placedService is a service with the position of its file in the revision.
type placedService struct {
	*Service
	position int
}

// Parse reads and validates the files, each of itself and all together, like
// ParseFiles. text returns the content of a file and is not called for files
// that are known. The error is that of text or an *InvalidError.
func (p *Parser) Parse(files []File, text func(File) (string, error)) (*Set, error) {
	known := make(map[fileKey]placedService, len(files))
	services := make([]*Service, 0, len(files))
	var added []*Service
	last, ordered := -1, true
	for i, f := range files {
		key := fileKey{f.Path, f.digest()}
		service := p.services[key]
		if service.Service == nil {
			content, err := text(f)
			if err != nil {
				return nil, err
			}
			parsed := parseService(f.Path, content)
			if len(parsed.problems) > 0 {
				return p.parseAll(files, text)
			}
			service.Service = parsed.service
			added = append(added, parsed.service)
		} else {
			ordered = ordered && service.position > last
			last = service.position
		}
		known[key] = placedService{service.Service, i}
		services = append(services, service.Service)
	}
	next := p.next(known, services, added, ordered)
	if next == nil {
		return p.parseAll(files, text)
	}
	p.services, p.index = known, next
	return next.set, nil
}

// next returns the index of the services, or nil if they do not agree. ordered
// says that known files kept their order, which decides where a shared searcher
// is placed.
func (p *Parser) next(known map[fileKey]placedService, services, added []*Service, ordered bool) *index {
	if p.index == nil || !ordered || len(known) != len(services) {
		return newIndex(services)
	}
	var removed []*Service
	for key, service := range p.services {
		if _, ok := known[key]; !ok {
			removed = append(removed, service.Service)
		}
	}
	if next := p.index.change(removed, added); next != nil {
		return next
	}
	return newIndex(services)
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
