package publish

import (
	"context"
	"strings"
	"sync"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/platform"
)

var errLost = errors.New("reply was lost")

// fakeStore keeps objects in memory. The hooks run before and after a Create
// takes effect; an error of either is what the caller sees.
type fakeStore struct {
	platform.Store
	mu            sync.Mutex
	objects       map[string][]byte
	version       uint64
	before, after func(name string) error
	get           func(name string) error
	hidden        string // name that List does not show
}

func newStore() *fakeStore { return &fakeStore{objects: make(map[string][]byte)} }

func call(hook func(string) error, name string) error {
	if hook == nil {
		return nil
	}
	return hook(name)
}

func (s *fakeStore) Create(_ context.Context, name string, value []byte) (uint64, error) {
	if err := call(s.before, name); err != nil {
		return 0, err
	}
	if err := s.put(name, value); err != nil {
		return 0, err
	}
	return s.version, call(s.after, name)
}

func (s *fakeStore) put(name string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[name]; ok {
		return platform.ErrConflict
	}
	s.version++
	s.objects[name] = value
	return nil
}

func (s *fakeStore) Get(_ context.Context, name string) (platform.Object, error) {
	if err := call(s.get, name); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return platform.Object{Name: name, Version: 1, Value: value}, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []platform.Object
	for name := range s.objects {
		if strings.HasPrefix(name, prefix) && name != s.hidden {
			all = append(all, platform.Object{Name: name})
		}
	}
	return all, nil
}
