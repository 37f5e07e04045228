package objectstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"
)

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, name string) (Object, error) {
	path, err := objectPath(name)
	if err != nil {
		return Object{}, errors.Trace(err)
	}
	r, err := h.do(ctx, call{
		kind: "get", method: http.MethodGet, path: path,
		timeout: h.config.Timeout, limit: MaxValueBytes,
	})
	if err != nil {
		return Object{}, err
	}
	version, err := r.version()
	if err != nil {
		return Object{}, errors.Annotatef(err, "platform get %s", path)
	}
	return Object{Name: name, Version: version, Value: r.body}, nil
}

// Create implements Store.
func (h *HTTP) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	return h.put(ctx, "create", name, value, map[string]string{"If-None-Match": "*"})
}

// Update implements Store.
func (h *HTTP) Update(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	return h.put(ctx, "update", name, value, map[string]string{"If-Match": quote(version)})
}

func (h *HTTP) put(ctx context.Context, kind, name string, value []byte, condition map[string]string) (uint64, error) {
	path, err := objectPath(name)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if len(value) > MaxValueBytes {
		return 0, errors.Annotatef(ErrTooLarge, "platform %s %s, %d bytes", kind, path, len(value))
	}
	r, err := h.do(ctx, call{
		kind: kind, method: http.MethodPut, path: path, header: condition, value: value,
		write: true, timeout: h.config.Timeout, limit: MaxValueBytes,
	})
	if err != nil {
		return 0, err
	}
	version, err := r.version()
	return version, errors.Annotatef(err, "platform %s %s", kind, path)
}

// Delete implements Store. It fails with ErrNotFound if the object does not
// exist.
func (h *HTTP) Delete(ctx context.Context, name string, version uint64) error {
	path, err := objectPath(name)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = h.do(ctx, call{
		kind: "delete", method: http.MethodDelete, path: path,
		header: map[string]string{"If-Match": quote(version)},
		write:  true, timeout: h.config.Timeout, limit: MaxValueBytes,
	})
	return err
}

// listed is an object as lists and watches show it. The value is base64.
type listed struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Object, error) {
	return h.objects(ctx, call{
		kind: "list", method: http.MethodGet, path: "/list",
		query: url.Values{"prefix": {prefix}}, timeout: h.config.Timeout, limit: maxListBytes,
	})
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, prefix string, after uint64) ([]Object, error) {
	return h.objects(ctx, call{
		kind: "watch", method: http.MethodGet, path: "/watch",
		query:   url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}},
		timeout: h.watchBy, limit: maxListBytes,
	})
}

func (h *HTTP) objects(ctx context.Context, c call) ([]Object, error) {
	r, err := h.do(ctx, c)
	if err != nil {
		return nil, err
	}
	var rows []listed
	if err := json.Unmarshal(r.body, &rows); err != nil {
		return nil, errors.Annotatef(err, "platform %s", c.kind)
	}
	objects := make([]Object, 0, len(rows))
	for _, row := range rows {
		objects = append(objects, Object(row))
	}
	return objects, nil
}

// Instances implements Store.
func (h *HTTP) Instances(ctx context.Context) ([]Instance, error) {
	r, err := h.do(ctx, call{
		kind: "instances", method: http.MethodGet, path: "/instances",
		timeout: h.config.Timeout, limit: maxListBytes,
	})
	if err != nil {
		return nil, err
	}
	var instances []Instance
	err = json.Unmarshal(r.body, &instances)
	return instances, errors.Annotate(err, "platform instances")
}
