// Package objectstore talks to the platform's object service, which keeps all
// state that outlives an instance.
package objectstore

import (
	"context"

	"github.com/juju/errors"
)

// MaxValueBytes is the largest value that the object service takes.
const MaxValueBytes = 1 << 20

// Errors of a Store. Any other error of a write leaves open whether it took
// effect; the caller reads back before it relies on either.
const (
	// ErrNotFound reports that no object has the name.
	ErrNotFound = errors.ConstError("object does not exist")
	// ErrConflict reports that the object's version is another than the write
	// asked for, or that an object to be created exists. The write took no
	// effect.
	ErrConflict = errors.ConstError("object has another version")
	// ErrUnavailable reports that the service was not reached. A write that
	// fails with it was never sent.
	ErrUnavailable = errors.ConstError("object service is not reachable")
)

// Object is a named value. Version rises over the whole store with every
// write.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Instance is one row of the platform's list of instances, which lags behind.
type Instance struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
}

// Store is the part of the object service that wisteriawharf uses. All methods
// end with the context at the latest.
type Store interface {
	// Get returns the object. A reading may be older than an earlier one.
	Get(ctx context.Context, name string) (Object, error)
	// Create writes a new object and returns its version. It fails with
	// ErrConflict if the name is taken.
	Create(ctx context.Context, name string, value []byte) (uint64, error)
	// Update replaces the object if it still has the given version, and returns
	// the new version. It fails with ErrConflict otherwise.
	Update(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
	// Delete removes the object if it still has the given version.
	Delete(ctx context.Context, name string, version uint64) error
	// List returns the objects whose names start with prefix, without values.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until objects with the prefix have versions greater than
	// after, and returns them. It returns none when nothing changed for the
	// service's longest wait (30 s).
	Watch(ctx context.Context, prefix string, after uint64) ([]Object, error)
	// Instances returns the platform's list of instances.
	Instances(ctx context.Context) ([]Instance, error)
}
