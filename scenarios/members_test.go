package scenarios

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"github.com/wisteriawharf/wisteriawharf/internal/deployment"
)

// memberCommands returns the commands of scenarios about membership, operators
// and the connections between instances.
//
//	deploy-relayed EXAMPLE [FLAG...]               deploy with relays before all peer addresses
//	instance cut|join INSTANCE                     separate it from all others and the platform
//	silence-peers                                  all present connections between processes go silent
//	search-at INSTANCE SERVICE DURATION REPORT     search at one entry; the report counts answers by code
//	logged ROLE COUNT TEXT                         the logs of a role have at least so many lines with a text
//	hide [OBJECT]                                  reads of the platform omit an object, or none
//	revisions-rise                                 no process took a revision after a newer one
//	grows DURATION since MARK SOURCE REPORT PATH   wait until a count exceeds that of a report
func memberCommands() map[string]command {
	return map[string]command{
		"grows": grows, "deploy-relayed": deployRelayed, "instance": cutInstance, "silence-peers": silencePeers,
		"hide": hide, "search-at": searchAt, "logged": logged, "revisions-rise": revisionsRise,
	}
}

// deployRelayed starts a deployment with relays between its processes.
func deployRelayed(s *scenario, ts *testscript.TestScript, args []string) error {
	return start(s, ts, args, true)
}

func cutInstance(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 || args[0] != "cut" && args[0] != "join" || s.deployment.Instance(args[1]) == nil {
		return errors.New("usage: instance cut|join INSTANCE")
	}
	s.deployment.Cut(args[1], args[0] == "cut")
	return nil
}

func silencePeers(s *scenario, _ *testscript.TestScript, _ []string) error {
	s.deployment.SilencePeers()
	return nil
}

// grows waits until a count of a source is greater than in an earlier report.
// The bound runs from a mark.
func grows(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 6 || args[1] != "since" {
		return errors.New("usage: grows DURATION since MARK SOURCE REPORT PATH")
	}
	until, err := s.after(args[2], args[0])
	if err != nil {
		return err
	}
	before, err := value(s.reports[args[4]], args[5])
	if err != nil {
		return err
	}
	was, ok := before.(float64)
	if !ok {
		return errors.Errorf("%s is %v, not a number", args[5], before)
	}
	return deployment.Until(time.Until(until), func() error {
		report, err := s.source(args[3])
		if err != nil {
			return err
		}
		now, err := value(report, args[5])
		if is, ok := now.(float64); err == nil && (!ok || is <= was) {
			err = errors.Errorf("%s was %v and is %v", args[5], before, now)
		}
		return err
	})
}

// searchesAtOnce is how many searches of search-at are in progress at once, and
// searchPause the pause of each after an answer.
const (
	searchesAtOnce = 12
	searchPause    = 5 * time.Millisecond
)

// searchAt sends searches to one entry, also to one that no address answer
// names, and counts the answers by their code, 0 for good ones.
func searchAt(s *scenario, ts *testscript.TestScript, args []string) error {
	if len(args) != 4 || s.deployment.Instance(args[0]) == nil {
		return errors.New("usage: search-at INSTANCE SERVICE DURATION REPORT")
	}
	length, err := time.ParseDuration(args[2])
	if err != nil {
		return errors.Trace(err)
	}
	url := "http://" + s.deployment.Instance(args[0]).EntryAddress() + "/v1/search/" + args[1]
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: searchesAtOnce}}
	defer client.CloseIdleConnections()
	codes := make(chan string)
	until := time.Now().Add(length)
	var running errgroup.Group
	for range searchesAtOnce {
		running.Go(func() error {
			for time.Now().Before(until) {
				code, err := search(client, url)
				if err != nil {
					return err
				}
				codes <- code
				time.Sleep(searchPause)
			}
			return nil
		})
	}
	go func() {
		err = running.Wait()
		close(codes)
	}()
	counts := make(map[string]int)
	for code := range codes {
		counts[code]++
	}
	ts.Logf("answers by code: %v", counts)
	s.reports[args[3]] = counts
	return err
}

func search(client *http.Client, url string) (string, error) {
	response, err := client.Post(url, "application/json", strings.NewReader(`{"query":"slate","deadline_ms":1000}`))
	if err != nil {
		return "", errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Code int `json:"code"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return strconv.Itoa(answer.Code), errors.Trace(err)
}

// logged checks the present logs of all processes of a role.
func logged(s *scenario, ts *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: logged ROLE COUNT TEXT")
	}
	least, err := strconv.Atoi(args[1])
	if err != nil {
		return errors.Trace(err)
	}
	files, err := filepath.Glob(filepath.Join(s.dir, "deployment", args[0]+"-*.log"))
	if err != nil {
		return errors.Trace(err)
	}
	found := 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return errors.Trace(err)
		}
		found += strings.Count(string(text), args[2])
	}
	ts.Logf("%d lines", found)
	if found < least {
		return errors.Errorf("%d lines in %d logs", found, len(files))
	}
	return nil
}

// hide makes readings of the platform as old as before an object was created.
func hide(s *scenario, _ *testscript.TestScript, args []string) error {
	return s.deployment.PlatformFaults(map[string]any{"hidden": strings.Join(args, "")})
}

var takenPattern = regexp.MustCompile(`msg="settings taken".* revision=(\d+)`)

// revisionsRise checks in the logs of the processes that run which revisions
// they took, since a status asked for later does not show what was in force
// between. Each process has to have taken one.
func revisionsRise(s *scenario, ts *testscript.TestScript, _ []string) error {
	for _, i := range s.deployment.Instances {
		for _, role := range []string{"entry-", "broker-"} {
			text, err := os.ReadFile(filepath.Join(s.dir, "deployment", role+i.Name+".log"))
			if err != nil {
				return errors.Trace(err)
			}
			var taken []int
			for _, match := range takenPattern.FindAllSubmatch(text, -1) {
				number, err := strconv.Atoi(string(match[1]))
				if err != nil {
					return errors.Trace(err)
				}
				taken = append(taken, number)
			}
			ts.Logf("%s%s took %v", role, i.Name, taken)
			if len(taken) == 0 || !slices.IsSorted(taken) {
				return errors.Errorf("%s%s took the revisions %v", role, i.Name, taken)
			}
		}
	}
	return nil
}
