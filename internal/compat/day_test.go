package compat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// submission returns the JSON body of a job submission. The default is a batch job of two tasks;
// fields overrides or adds fields.
func submission(id string, fields string) string {
	base := map[string]any{
		"id": id, "flock": "sums", "crew": "blue", "shape": "batch", "rank": "standard", "talons": 2, "vcpus": 1.0, "gpus": 0.0, "ramGb": 1.0,
		"plumage": "img", "imageGb": 1.0, "perches": nil, "eyrie": nil, "samePlace": false, "scatter": false, "driftwood": true,
		"flightS": 400.0, "roostS": 10.0, "stashS": 2.0, "duskS": nil,
	}
	var other map[string]any
	if err := json.Unmarshal([]byte("{"+fields+"}"), &other); err != nil {
		panic(err)
	}
	maps.Copy(base, other)
	raw, _ := json.Marshal(base)
	return string(raw)
}

const (
	serviceFields   = `"flock":"web","crew":"red","shape":"daemon","rank":"prod","vcpus":2,"plumage":"web","scatter":true,"driftwood":false,"flightS":0,"roostS":0,"stashS":0`
	batchFields     = `"talons":4,"perches":["c4"],"eyrie":"a","duskS":900`
	shortFields     = `"flightS":5`
	overQuotaFields = `"talons":40,"vcpus":2,"flightS":30` // exceeds what the team may run at a time
	gangFields      = `"flock":"joint","shape":"gang","vcpus":2,"plumage":"joint","samePlace":true,"driftwood":false`
)

// recordedOutput is the output of a cluster that is compared with golden files.
type recordedOutput struct {
	userResponses                         bytes.Buffer // requests to the users' API and the responses
	records, requests, heartbeatResponses []byte
	operatorFields, metrics               fieldSet
	jobRecords, catalog                   []byte // stored values that do not vary between runs
	catalogParts                          []byte
}

var metricLine = regexp.MustCompile(`^([a-z_]+)(?:\{(.*)\})? `)

// recordOperatorView records the fields and the metrics that all controllers show to operators.
func (o *recordedOutput) recordOperatorView(t *testing.T, c *cluster) {
	t.Helper()
	for _, n := range c.controllerNames {
		for _, path := range []string{"/status", "/recovery"} {
			status, body, _ := strings.Cut(c.sendAsOperator(n, "GET", path, ""), " ")
			o.operatorFields.addJSON(t, "GET "+path+" "+status, []byte(body), " .evidence", " .written")
		}
		_, body, _ := strings.Cut(c.sendAsOperator(n, "GET", "/metrics", ""), " ")
		for line := range strings.Lines(body) {
			line = strings.TrimSpace(line)
			if m := metricLine.FindStringSubmatch(line); m != nil && !strings.HasPrefix(line, "#") {
				line = m[1]
				for label := range strings.SplitSeq(m[2], ",") {
					name, _, _ := strings.Cut(label, "=")
					line += " " + name
				}
			}
			o.metrics.add(strings.TrimSpace(line))
		}
	}
}

// runWorkload runs jobs of all kinds without controller failures, so that the cluster writes, sends
// and shows as many fields as possible.
func (o *recordedOutput) runWorkload(t *testing.T, c *cluster) {
	t.Helper()
	sendAndRecord := func(controllerName, method, path, body string) {
		fmt.Fprintf(&o.userResponses, "%s %s\n%s\n", method, path, c.sendAsUser(controllerName, method, path, body))
	}
	submit := func(controllerName, submission string) {
		c.env.upload(t, []byte(submission))
		sendAndRecord(controllerName, "POST", "/v1/jobs", submission)
	}
	c.startAll()
	submit("perch-0", submission("j-1", serviceFields))
	submit("perch-1", submission("j-2", batchFields))
	submit("perch-2", submission("j-3", shortFields))
	submit("perch-0", submission("j-4", ""))
	submit("perch-1", submission("j-5", gangFields))
	submit("perch-2", submission("j-6", batchFields+`,"eyrie":"b","colour":"of no meaning"`))
	c.eventually(time.Minute, "all tasks running", func() bool {
		return c.allRunning("j-1", 2) && c.allRunning("j-2", 4) && c.allRunning("j-4", 2) && c.allRunning("j-5", 2) && c.allRunning("j-6", 4)
	})
	submit("perch-0", submission("j-7", overQuotaFields))
	c.eventually(time.Minute, "a batch job done", func() bool {
		return strings.Contains(c.sendAsUser("perch-0", "GET", "/v1/jobs/j-3", ""), `"done"`) && strings.Contains(string(c.env.value("job/j-3")), `"done"`)
	})
	o.recordOperatorView(t, c)
	sendAndRecord("perch-0", "POST", "/v1/jobs", submission("j-9", `"crew":"green"`))
	sendAndRecord("perch-0", "POST", "/v1/jobs", submission("j-9", `"vcpus":5`))
	sendAndRecord("perch-0", "POST", "/v1/jobs", submission("j-9", `"talons":0,"shape":"circle"`))
	sendAndRecord("perch-0", "POST", "/v1/jobs", "{")
	sendAndRecord("perch-1", "POST", "/v1/jobs", submission("j-3", shortFields))
	c.eventually(10*time.Second, "counts known to all", func() bool {
		return strings.Contains(c.sendAsUser("perch-2", "GET", "/v1/jobs/j-1", ""), `"running":2`)
	})
	sendAndRecord("perch-2", "GET", "/v1/jobs/j-1", "")
	sendAndRecord("perch-2", "GET", "/v1/jobs/j-3", "")
	sendAndRecord("perch-2", "GET", "/v1/jobs/j-77", "")
	sendAndRecord("perch-0", "POST", "/v1/jobs/j-4/withdraw", "")
	sendAndRecord("perch-0", "POST", "/v1/jobs/j-3/withdraw", "")
	sendAndRecord("perch-0", "POST", "/v1/jobs/j-77/withdraw", "")
	c.run(5 * time.Second)
	sendAndRecord("perch-1", "GET", "/v1/jobs/j-4", "")
	c.env.killMachine(c.machineWithOnlyBatchTasks("j-2/0", "j-2/3", "j-6/0", "j-6/3"))
	c.run(time.Minute)
	o.recordOperatorView(t, c)
	var jobs []pair
	for _, p := range c.storedPairs() {
		if strings.HasPrefix(p.Key, "job/") && p.Key != "job/j-7" { // acceptance time varies
			jobs = append(jobs, p)
		}
	}
	o.jobRecords, o.catalog = encodePairs(jobs), c.env.value("catalog")
}

// machineWithOnlyBatchTasks returns a machine that runs one of the given tasks, but none of the gang j-5
// and none of the service j-1, whose replacement would preempt other tasks.
func (c *cluster) machineWithOnlyBatchTasks(tasks ...string) string {
	var others []string
	for _, task := range []string{"j-1/0", "j-1/1", "j-5/0", "j-5/1"} {
		others = append(others, c.env.machineOf(task))
	}
	for _, task := range tasks {
		if m := c.env.machineOf(task); !slices.Contains(others, m) {
			return m
		}
	}
	c.t.Fatal("all machines of these tasks also run a service or a gang")
	return ""
}

// runRestart stops all controllers, kills a machine and starts the controllers again.
func (o *recordedOutput) runRestart(t *testing.T, c *cluster) {
	t.Helper()
	c.stopAll()
	c.env.killMachine(c.env.machineOf("j-2/0"))
	c.startAll()
	c.mustSubmit("perch-0", submission("j-8", shortFields))
	c.run(3 * time.Second)
	o.recordOperatorView(t, c)
	c.run(time.Minute)
	o.recordOperatorView(t, c)
}

// runRecordLosses makes the store lose records, first while the controllers have them in memory,
// then while all controllers are stopped.
func (o *recordedOutput) runRecordLosses(t *testing.T, c *cluster) {
	t.Helper()
	c.env.loseKeys(false, func(key string) bool { return strings.HasPrefix(key, "job/") || key == "book/0" })
	c.eventually(time.Minute, "recovery starts", func() bool { return c.env.value("recovery/status") != nil })
	o.recordOperatorView(t, c)
	c.eventually(3*time.Minute, "records restored", func() bool {
		return c.env.value("recovery/status") == nil && c.env.value("job/j-2") != nil
	})
	c.run(10 * time.Second)
	o.recordOperatorView(t, c)
	c.mustSubmit("perch-0", submission("j-10", `"flightS":6`))
	c.eventually(time.Minute, "a short batch job runs", func() bool { return c.allRunning("j-10", 2) })
	c.stopAll()
	c.env.loseKeys(true, func(string) bool { return true })
	c.run(10 * time.Second) // j-10 finishes while no controller runs
	c.startAll()
	isHeld := func() bool { return strings.Contains(string(c.env.value("job/j-2")), `"held"`) }
	c.eventually(2*time.Minute, "jobs held", isHeld)
	o.recordOperatorView(t, c)
	c.eventually(2*time.Minute, "held job submitted again", func() bool {
		return strings.HasPrefix(c.sendAsUser("perch-0", "POST", "/v1/jobs", submission("j-2", batchFields)), "200")
	})
	c.eventually(time.Minute, "held job described", func() bool {
		return strings.Contains(c.sendAsOperator(c.leader(), "GET", "/recovery", ""), `"described":true`)
	})
	o.recordOperatorView(t, c)
	request := func(what, controllerName, path, body string) {
		status, response, _ := strings.Cut(c.sendAsOperator(controllerName, "POST", path, body), " ")
		o.operatorFields.addJSON(t, "POST "+path+", "+what+": "+status, []byte(response))
	}
	request("done, and it runs", c.leader(), "/recovery/settle", `{"job":"j-2","as":"done"}`)
	request("run", c.leader(), "/recovery/settle", `{"job":"j-2","as":"run"}`)
	request("not held", c.leader(), "/recovery/settle", `{"job":"j-99","as":"run"}`)
	request("no id", c.leader(), "/recovery/settle", `{"job":"x","as":"run"}`)
	request("not the leader", c.follower(), "/recovery/settle", `{"job":"j-2","as":"run"}`)
	request("of another deployment", c.leader(), "/recovery/import", `{"cluster":"other","revision":3,"jobs":[]}`)
	request("of this deployment", c.leader(), "/recovery/import",
		fmt.Sprintf(`{"cluster":%q,"revision":3,"jobs":[{"id":"j-4","record":{"stance":"aborted","tasks":2}}]}`, clusterID(c.controllerNames)))
	c.run(time.Minute)
	o.recordOperatorView(t, c)
}

// largeCatalog returns a catalog that does not fit into a value of 1 KB.
func largeCatalog() string {
	var types []string
	for i := range 12 {
		types = append(types, strings.Replace(strings.Trim(smallCatalog, "[]"), "c4", fmt.Sprintf("c%d", i+4), 1))
	}
	return "[" + strings.Join(types, ",") + "]"
}

// All names that the cluster writes, sends and shows must be those of version 0.8.0. Output that
// does not vary between runs must be identical.
func TestInterfacesUnchanged(t *testing.T) {
	var o recordedOutput
	runInCluster(t, smallCatalog, 0, []string{"perch-0", "perch-1", "perch-2"}, func(c *cluster) {
		o.runWorkload(t, c)
		o.runRestart(t, c)
		o.runRecordLosses(t, c)
		o.records, o.requests, o.heartbeatResponses = c.records.lines(), c.requests.lines(), c.heartbeatResponses.lines()
	})
	runInCluster(t, largeCatalog(), 1, []string{"perch-0"}, func(c *cluster) {
		c.startAll()
		parts := slices.DeleteFunc(c.storedPairs(), func(p pair) bool { return !strings.HasPrefix(p.Key, "catalog") })
		o.catalogParts = encodePairs(parts)
	})
	compareGolden(t, "user-answers.txt", o.userResponses.Bytes())
	compareGolden(t, "stored-jobs.jsonl", o.jobRecords)
	compareGolden(t, "stored-catalog.json", o.catalog)
	compareGolden(t, "stored-catalog-parts.jsonl", o.catalogParts)
	compareGolden(t, "stored-fields.txt", o.records)
	compareGolden(t, "sent-fields.txt", o.requests)
	compareGolden(t, "report-answer-fields.txt", o.heartbeatResponses)
	compareGolden(t, "operator-fields.txt", o.operatorFields.lines())
	compareGolden(t, "metrics.txt", o.metrics.lines())
}

// A cluster that starts with records of version 0.8.0 must decode them: records from normal
// operation, records restored after a loss, and records of held jobs.
func TestStoredStateReadable(t *testing.T) {
	for _, name := range []string{"state", "state-restored", "state-held"} {
		t.Run(name, func(t *testing.T) {
			var output bytes.Buffer
			runWith := func(pairs []pair, scenario func(*cluster)) {
				runInCluster(t, smallCatalog, 0, []string{"perch-0", "perch-1", "perch-2"}, func(c *cluster) {
					for _, p := range pairs {
						c.env.put(p.Key, p.Value)
					}
					c.startAll()
					scenario(c)
				})
			}
			pairs := readGoldenPairs(t, name+".jsonl")
			runWith(pairs, func(c *cluster) { fmt.Fprintf(&output, "leads by its key: %s\n", c.knownLeader()) })
			withoutHolder := slices.DeleteFunc(slices.Clone(pairs), func(p pair) bool { return p.Key == "term/holder" })
			runWith(withoutHolder, func(c *cluster) { c.writeKnownState(&output, pairs) })
			compareGolden(t, name+"-read.txt", output.Bytes())
		})
	}
}

// Decoding and encoding a job's record must not change a byte.
func TestJobRecordsRoundTrip(t *testing.T) {
	count := 0
	for _, name := range []string{"state.jsonl", "state-restored.jsonl", "state-held.jsonl", "rare-jobs.jsonl"} {
		for _, p := range readGoldenPairs(t, name) {
			if !strings.HasPrefix(p.Key, "job/") {
				continue
			}
			count++
			if got, err := recodeJob(p.Value); err != nil || string(got) != string(p.Value) {
				t.Errorf("%s: %v, encoded as\n%s\nwant\n%s", p.Key, err, got, p.Value)
			}
		}
	}
	if count == 0 {
		t.Error("no record was read")
	}
}

// knownLeader returns the leader according to a controller that is not the leader.
func (c *cluster) knownLeader() string {
	var s struct {
		Leader string `json:"leader"`
	}
	_, body, _ := strings.Cut(c.sendAsOperator(c.follower(), "GET", "/status", ""), " ")
	_ = json.Unmarshal([]byte(body), &s)
	return s.Leader
}

// writeKnownState writes the responses of the controllers about the records that they started with.
func (c *cluster) writeKnownState(to *bytes.Buffer, pairs []pair) {
	for _, p := range pairs {
		if id, isJob := strings.CutPrefix(p.Key, "job/"); isJob {
			fmt.Fprintf(to, "%s: %s\n", id, c.sendAsUser(c.follower(), "GET", "/v1/jobs/"+id, ""))
		}
	}
	_, status, _ := strings.Cut(c.sendAsOperator(c.leader(), "GET", "/status", ""), " ")
	c.writeFields(to, status, "term", "token", "classes", "teams", "machines")
	_, recovery, _ := strings.Cut(c.sendAsOperator(c.leader(), "GET", "/recovery", ""), " ")
	c.writeFields(to, recovery, "phase", "held", "heldJobs")
}

// writeFields writes the named fields of an object, or of its field "view" if it has one, with one
// line per array element.
func (c *cluster) writeFields(to *bytes.Buffer, object string, names ...string) {
	var fields map[string]any
	if err := json.Unmarshal([]byte(object), &fields); err != nil {
		c.t.Errorf("%v: %s", err, object)
	}
	if view, ok := fields["view"].(map[string]any); ok {
		fields = view
	}
	for _, name := range names {
		elements, ok := fields[name].([]any)
		if !ok {
			elements = []any{fields[name]}
		}
		for _, e := range elements {
			raw, _ := json.Marshal(e)
			fmt.Fprintf(to, "%s: %s\n", name, raw)
		}
	}
}
