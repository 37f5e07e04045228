package deployment

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/load"
	"github.com/wisteriawharf/wisteriawharf/standin"
)

// client keeps no connections, so that a stopped program is noticed.
var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func call(method, url string, body any) ([]byte, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(text))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if response.StatusCode/100 != 2 {
		return answer, errors.Errorf("%s %s: %s: %s", method, url, response.Status, answer)
	}
	return answer, nil
}

// PlatformAddress is the address of the platform stand-in's object service.
func (d *Deployment) PlatformAddress() string { return d.platformAddress }

// PlatformFaults sets the faults of the platform stand-in.
func (d *Deployment) PlatformFaults(faults map[string]any) error {
	_, err := call(http.MethodPut, "http://"+d.platformControl+"/faults", faults)
	return err
}

// CurrentPlatformFaults returns the faults in force at the platform stand-in.
func (d *Deployment) CurrentPlatformFaults() (map[string]any, error) {
	return d.get("http://" + d.platformControl + "/faults")
}

// PlatformStats returns the calls that the platform stand-in has counted.
func (d *Deployment) PlatformStats() (map[string]any, error) {
	return d.get("http://" + d.platformControl + "/stats")
}

// Object returns an object of the platform.
func (d *Deployment) Object(name string) (map[string]any, error) {
	return d.get("http://" + d.platformAddress + "/objects/" + name)
}

// UpstreamControl changes the behaviour of searchers.
func (d *Deployment) UpstreamControl(change map[string]any) error {
	_, err := call(http.MethodPost, "http://"+d.upstreamControl+"/control", change)
	return err
}

// Facts returns what the searchers recorded.
func (d *Deployment) Facts() (*standin.Facts, error) {
	answer, err := call(http.MethodGet, "http://"+d.upstreamControl+"/facts", nil)
	if err != nil {
		return nil, err
	}
	var facts standin.Facts
	return &facts, decode(answer, &facts)
}

// Searches returns what the searchers ran for queries.
func (d *Deployment) Searches(queries ...string) (*standin.SearchFacts, error) {
	answer, err := call(http.MethodPost, "http://"+d.upstreamControl+"/facts/searches", standin.SearchQuestion{Queries: queries})
	if err != nil {
		return nil, err
	}
	var facts standin.SearchFacts
	return &facts, decode(answer, &facts)
}

func (d *Deployment) get(url string) (map[string]any, error) {
	answer, err := call(http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	var into map[string]any
	return into, decode(answer, &into)
}

// WaitReady waits until every entry that runs is ready.
func (d *Deployment) WaitReady(timeout time.Duration) error {
	for _, i := range d.Instances {
		url := "http://" + i.EntryAddress() + "/v1/ready"
		err := Until(timeout, func() error {
			if i.Entry.Ended() || i.Broker.Ended() {
				return nil
			}
			_, err := call(http.MethodGet, url, nil)
			return err
		})
		if err != nil {
			return errors.Annotatef(err, "instance %s", i.Name)
		}
		if i.Entry.Ended() || i.Broker.Ended() {
			return errors.Errorf("a program of instance %s has ended, see the logs in %s", i.Name, d.config.Dir)
		}
	}
	return nil
}

// Until repeats a check until it succeeds and returns its last error if it does
// not in time.
func Until(timeout time.Duration, check func() error) error {
	end := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Load is a running load generator.
type Load struct {
	process *Process
	output  string
}

// StartLoad starts the load generator with further flags. Its addresses come
// from the first entry that answers.
func (d *Deployment) StartLoad(name string, args ...string) (*Load, error) {
	output := d.path(name + ".json")
	all := append([]string{"--out=" + output, "--facts=" + d.upstreamControl}, args...)
	for _, i := range d.Instances {
		all = append(all, "--entry="+i.EntryAddress())
	}
	p, err := startProcess(d.config.Dir, name, d.binary("wharf-load"), false, all...)
	return &Load{process: p, output: output}, err
}

// Finish ends the load before its duration has passed and returns its report.
func (l *Load) Finish() (*load.Report, error) {
	l.process.Signal(syscall.SIGTERM)
	return l.Wait()
}

// Kill ends the load at once, without a report.
func (l *Load) Kill() {
	if !l.process.Ended() {
		l.process.Kill()
	}
}

// Wait waits for the end of the load and returns its report.
func (l *Load) Wait() (*load.Report, error) {
	<-l.process.done
	if l.process.err != nil {
		return nil, errors.Annotatef(l.process.err, "load, see %s", l.process.log)
	}
	text, err := os.ReadFile(l.output)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var report load.Report
	return &report, decode(text, &report)
}
