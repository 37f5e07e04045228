package settings

// ParseService reads and validates one service settings file. path stands in
// errors. The error is an *InvalidError with all problems of the file.
func ParseService(path, text string) (*Service, error) {
	p := parseService(path, text)
	if err := invalid(p.problems); err != nil {
		return nil, err
	}
	return p.service, nil
}

// ParseFiles reads and validates the service settings files of one revision,
// each of itself and all together. The error is an *InvalidError with all
// problems of all files.
func ParseFiles(files []File) (*Set, error) {
	var problems []Problem
	parsed := make([]parsedService, 0, len(files))
	for _, f := range files {
		p := parseService(f.Path, f.Text)
		problems = append(problems, p.problems...)
		parsed = append(parsed, p)
	}
	problems = append(problems, checkTogether(parsed)...)
	if err := invalid(problems); err != nil {
		return nil, err
	}
	services := make([]*Service, 0, len(parsed))
	for _, p := range parsed {
		services = append(services, p.service)
	}
	return NewSet(services), nil
}

// ParseProcess reads and validates the settings file of a daemon. path stands
// in errors. The error is an *InvalidError with all problems of the file.
func ParseProcess(path, text string) (*Process, error) {
	r := &reader{path: path, fields: processFields}
	var p Process
	if s := r.root(text); s != nil {
		p = readProcess(s)
	}
	if err := invalid(r.problems); err != nil {
		return nil, err
	}
	return &p, nil
}

func readProcess(s *section) Process {
	p := Process{
		ID:              s.name("id"),
		FailureDomain:   s.name("failure_domain"),
		CallerAddress:   s.address("caller_address"),
		PeerAddress:     s.address("peer_address"),
		PeerListen:      s.address("peer_listen_address"),
		OperatorAddress: s.address("operator_address"),
		PlatformAddress: s.address("platform_address"),
		Certificate:     s.text("certificate"),
		Key:             s.text("key"),
		CA:              s.text("ca"),
		LogLevel:        s.choice("log_level"),
		LogFormat:       s.choice("log_format"),
		AddressLifetime: s.duration("address_lifetime"),
		StopTimeout:     s.duration("stop_timeout"),
		CallerListen:    s.address("caller_listen_address"),
	}
	p.Seeds = s.addresses("seeds")
	if p.PeerListen == "" {
		p.PeerListen = p.PeerAddress
	}
	// A stop serves callers until the addresses they hold have expired.
	if p.StopTimeout > 0 && p.AddressLifetime >= p.StopTimeout {
		s.r.report(s.position("address_lifetime"), "address_lifetime", "less than stop_timeout ("+p.StopTimeout.String()+")",
			"%s is not below stop_timeout", p.AddressLifetime)
	}
	if p.CallerListen == "" {
		p.CallerListen = p.CallerAddress
	}
	return p
}

// parsedService is a service with the positions that checks across files need.
type parsedService struct {
	path      string
	service   *Service
	problems  []Problem
	at        position
	searchers []placedSearcher
}

type placedSearcher struct {
	Searcher
	key string
	at  position
}

func parseService(path, text string) parsedService {
	r := &reader{path: path, fields: serviceFields}
	p := parsedService{path: path, service: &Service{}}
	if s := r.root(text); s != nil {
		p.read(s)
	}
	p.problems = r.problems
	return p
}

func (p *parsedService) read(s *section) {
	v := p.service
	p.at = s.position("service")
	v.Name = s.name("service")
	v.Kind = Kind(s.choice("kind"))
	v.Deadline = s.duration("deadline")
	v.SoftDeadline = s.duration("soft_deadline")
	v.QueueLimit = s.count("queue_limit")
	if v.Kind != KindBooking {
		v.MinCoverage = s.share("min_coverage")
		v.HedgeBudget = s.share("hedge_budget")
	}
	v.Limits = readLimits(s)
	for _, e := range s.sections("indexes") {
		index := Index{Name: e.name("name"), Shard: uint32(e.count("shard")), Searchers: p.readSearchers(e)}
		v.Indexes = append(v.Indexes, index)
	}
	v.Searchers = p.readSearchers(s)
	checkService(s, v)
	p.checkSearchers(s)
}

func readLimits(s *section) Limits {
	var l Limits
	limits := s.section("limits")
	if limits == nil {
		return l
	}
	l.Slots = limits.count("slots")
	l.Connections = limits.count("connections")
	cold := limits.section("cold")
	if cold == nil {
		// The defaults of the section's fields hold.
		cold = &section{r: s.r, prefix: "limits.cold.", label: "limits.cold.", at: limits.at}
	}
	l.Cold.Allowance = cold.count("allowance")
	l.Cold.StepSuccesses = cold.count("step_successes")
	checkLimits(limits, cold, l)
	return l
}

func (p *parsedService) readSearchers(s *section) []Searcher {
	var all []Searcher
	for _, e := range s.sections("searchers") {
		u := Searcher{ID: e.name("id"), Address: e.address("address"), FailureDomain: e.name("failure_domain")}
		all = append(all, u)
		p.searchers = append(p.searchers, placedSearcher{Searcher: u, key: e.label + "id", at: e.position("id")})
	}
	return all
}
