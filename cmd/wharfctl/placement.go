package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/placement"
)

// maxPlacementBytes bounds the answer of an instance.
const maxPlacementBytes = 32 << 20

type placementCommand struct {
	app      *app
	Instance string `long:"instance" value-name:"IP:PORT" required:"yes" description:"address of the instance's metrics, its first internal port"`
	Host     string `long:"host" required:"yes" description:"host of the request"`
	Path     string `long:"path" required:"yes" description:"path of the request"`
	Account  string `long:"account" value-name:"NAME" description:"name of the client account"`
	Size     int    `long:"size" value-name:"BYTES" description:"size of the body"`
	JSON     bool   `long:"json" description:"write JSON, as --output json"`
}

// Execute asks an instance where a request would go now. Nothing is sent to a searcher.
func (c *placementCommand) Execute([]string) error {
	ctx, cancel, err := c.app.context()
	if err != nil {
		return err
	}
	defer cancel()
	query := url.Values{placement.ParamHost: {c.Host}, placement.ParamPath: {c.Path}, placement.ParamAccount: {c.Account}, placement.ParamSize: {strconv.Itoa(c.Size)}}
	address := url.URL{Scheme: "http", Host: c.Instance, Path: placement.Path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return errors.Annotate(err, "instance")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Annotate(err, "ask the instance")
	}
	defer func() { _ = response.Body.Close() }() // it was read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPlacementBytes))
	if err != nil {
		return errors.Annotate(err, "read the answer of the instance")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("instance answers %d: %s", response.StatusCode, body)
	}
	var answer placement.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return errors.Annotate(err, "decode the answer of the instance")
	}
	if c.JSON {
		c.app.options.Output = "json"
	}
	var writeErr error
	err = c.app.show(answer, func(w io.Writer) { writeErr = answer.Write(w) })
	if err != nil {
		return err
	}
	return errors.Trace(writeErr)
}
