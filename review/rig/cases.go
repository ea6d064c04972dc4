package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// scenarios holds the cases by name.
var scenarios = map[string]scenario{
	"limits":    {platform{types: manyTypes(120), boot: 2 * time.Second, machines: 40}, playLimits},
	"field":     {platform{types: twoTypes, boot: 2 * time.Second, machines: 40}, playField},
	"small":     {platform{types: twoTypes, boot: 2 * time.Second, machines: 40}, playSmall},
	"straggler": {platform{types: twoTypes[1:], boot: time.Second, machines: 40}, playStraggler},
	"late":      {platform{types: twoTypes[:1], boot: time.Second, machines: 40}, playLate},
	"estimate":  {platform{types: twoTypes, boot: 2 * time.Second, machines: 40}, playEstimate},
}

// twoTypes is the catalog of a small deployment.
var twoTypes = []machineType{
	{Label: "slatebox", VCPUs: 4, RAMGB: 16, LocalGB: 40, FetchGBPerS: 1, Rate: 0.16, LowPrice: 0.07, StartupS: 2, Eyries: []string{"a", "b", "c"}},
	{Label: "ledgerhall", VCPUs: 16, RAMGB: 64, LocalGB: 60, FetchGBPerS: 1, Rate: 0.63, LowPrice: 0.27, StartupS: 2, Eyries: []string{"a", "b", "c"}},
}

// manyTypes returns a catalog of many generations of one machine type.
func manyTypes(count int) (types []machineType) {
	for n := range count {
		t := twoTypes[0]
		t.Label = fmt.Sprintf("slatebox-generation-%03d", n)
		types = append(types, t)
	}
	return types
}

// stateNext announces the limits that the state service will have.
const stateNext = "\n[deployment.state.next]\nvalue_kb = 2.0\ntxn_ops = 12\nwrite_rps = 35.0\n"

// playLimits: jobs are accepted. Then the settings announce lower limits, and all controllers are
// restarted one after the other with them. Users repeat their submissions.
func playLimits(r *rig, troubled bool) (broke []string, err error) {
	if err := r.startAll(); err != nil {
		return nil, err
	}
	var names []string
	for _, t := range r.cloud.types {
		names = append(names, t.Label)
	}
	short, long := batch("j-000101", 2, 2), batch("j-000102", 1, 300)
	for _, job := range []*submission{&short, &long} {
		job.Perches = names
		r.truth.upload(*job)
		if status, answer := r.submit(r.nodes[0], job.body()); status != http.StatusCreated {
			return nil, fmt.Errorf("submission of %s answered %d %s", job.ID, status, answer)
		}
	}
	if !r.await(20*time.Second, func() bool { _, stance := r.poll(r.nodes[1], short.ID); return stance == "done" }) {
		return nil, fmt.Errorf("%s is not done", short.ID)
	}
	next := ""
	if troubled {
		next = stateNext
	}
	for _, n := range r.nodes {
		r.kill(n)
		time.Sleep(2 * time.Second)
		if err := r.start(n, next); err != nil {
			return nil, err
		}
		if err := r.awaitReady(n); err != nil {
			return nil, err
		}
	}
	if troubled {
		r.state.lowerLimits(2, txnOps)
		r.record.add("state", "limits lowered as announced")
	}
	time.Sleep(3 * time.Second)
	for _, n := range r.nodes {
		for _, job := range []submission{short, long} {
			if status, stance := r.poll(n, job.ID); status != http.StatusOK {
				broke = append(broke, fmt.Sprintf("forgotten: %s is answered %d %s by %s", job.ID, status, stance, n.name))
			}
			if status, answer := r.submit(n, job.body()); status != http.StatusOK {
				broke = append(broke, fmt.Sprintf("forgotten: the repeated submission of %s is answered %d %s by %s", job.ID, status, answer, n.name))
			}
		}
	}
	return broke, nil
}

// playField: a submission has a field more than the protocol knows, whose name differs from that of
// a known one in case.
func playField(r *rig, troubled bool) (broke []string, err error) {
	if err := r.startAll(); err != nil {
		return nil, err
	}
	const foreign = "j-900001"
	job := batch("j-000412", 1, 2)
	r.truth.upload(job)
	body := job.body()
	if troubled {
		body = strings.TrimSuffix(body, "}") + `,"ID":"` + foreign + `"}`
	}
	status, answer := r.submit(r.nodes[0], body)
	if status != http.StatusCreated && status != http.StatusOK {
		return nil, fmt.Errorf("submission answered %d %s", status, answer)
	}
	var view struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal([]byte(answer), &view)
	if view.ID != job.ID {
		broke = append(broke, fmt.Sprintf("the submission of %s is answered for %s", job.ID, view.ID))
	}
	time.Sleep(5 * time.Second)
	for _, n := range r.nodes {
		if status, _ := r.poll(n, job.ID); status != http.StatusOK {
			broke = append(broke, fmt.Sprintf("forgotten: %s, which was accepted, is answered %d by %s", job.ID, status, n.name))
		}
		if status, stance := r.poll(n, foreign); status != http.StatusNotFound {
			broke = append(broke, fmt.Sprintf("invented: %s, which nobody submitted, is answered %d %s by %s", foreign, status, stance, n.name))
		}
	}
	return broke, nil
}

// playSmall: an array of many tasks that take little of a machine is submitted while a service runs.
func playSmall(r *rig, troubled bool) (broke []string, err error) {
	if err := r.startAll(); err != nil {
		return nil, err
	}
	replicas := service("j-000001", 1)
	replicas.Perches = []string{"ledgerhall"}
	r.truth.upload(replicas)
	if status, answer := r.submit(r.nodes[0], replicas.body()); status != http.StatusCreated {
		return nil, fmt.Errorf("submission answered %d %s", status, answer)
	}
	if !r.await(20*time.Second, func() bool { running, _, _ := r.truth.countOf(replicas.ID); return running == 1 }) {
		return nil, fmt.Errorf("the service does not run")
	}
	array := batch("j-000002", 1200, 15)
	array.VCPUs, array.RAMGB = 0.01, 0.01
	array.Perches = []string{"ledgerhall"}
	if !troubled {
		array.Talons = 300
	}
	r.truth.upload(array)
	if status, answer := r.submit(r.nodes[1], array.body()); status != http.StatusCreated {
		return nil, fmt.Errorf("submission answered %d %s", status, answer)
	}
	r.await(85*time.Second, func() bool { _, stance := r.poll(r.nodes[2], array.ID); return stance == "done" })
	running, done, starts := r.truth.countOf(array.ID)
	r.record.add("truth", "%s: %d of %d tasks done, %d on machines, started %d times", array.ID, done, array.Talons, running, starts)
	_, _, serviceStarts := r.truth.countOf(replicas.ID)
	r.record.add("truth", "%s: its replica was started %d times", replicas.ID, serviceStarts)
	if done < array.Talons {
		broke = append(broke, fmt.Sprintf("%s, an array of %d tasks of 15 s, has %d tasks done after 85 s and %d starts; the service beside it was started %d times", array.ID, array.Talons, done, starts, serviceStarts))
	}
	return broke, nil
}

// playStraggler: a machine runs its tasks slower for a while. Afterwards, an array that may run in
// that machine's zone only is submitted.
func playStraggler(r *rig, troubled bool) (broke []string, err error) {
	if err := r.startAll(); err != nil {
		return nil, err
	}
	replicas := service("j-000001", 2)
	replicas.Scatter = true
	r.truth.upload(replicas)
	if status, answer := r.submit(r.nodes[0], replicas.body()); status != http.StatusCreated {
		return nil, fmt.Errorf("submission answered %d %s", status, answer)
	}
	if !r.await(15*time.Second, func() bool { running, _, _ := r.truth.countOf(replicas.ID); return running == 2 }) {
		return nil, fmt.Errorf("the service does not run")
	}
	slowMachine := r.truth.machineOf("j-000001/0")
	var slow *worker
	for _, w := range r.cloud.workers() {
		if w.m.id == slowMachine {
			slow = w
		}
	}
	if troubled {
		slow.setSlowness(4)
		r.record.add("worker", "%s runs its tasks slower from now on", slowMachine)
	}
	first := batch("j-000002", 30, 1.5)
	r.truth.upload(first)
	if status, answer := r.submit(r.nodes[1], first.body()); status != http.StatusCreated {
		return nil, fmt.Errorf("submission answered %d %s", status, answer)
	}
	r.await(20*time.Second, func() bool { _, stance := r.poll(r.nodes[2], first.ID); return stance == "done" })
	slow.setSlowness(1)
	r.record.add("worker", "%s runs its tasks as fast as before", slowMachine)
	bound := batch("j-000003", 2, 2)
	bound.Eyrie = &slow.m.zone
	r.truth.upload(bound)
	if status, answer := r.submit(r.nodes[1], bound.body()); status != http.StatusCreated {
		return nil, fmt.Errorf("submission answered %d %s", status, answer)
	}
	if r.await(91*time.Second, func() bool { _, _, starts := r.truth.countOf(bound.ID); return starts > 0 }) {
		return nil, nil
	}
	status, stance := r.poll(r.nodes[0], bound.ID)
	up := slices.ContainsFunc(r.cloud.workers(), func(w *worker) bool { return w == slow })
	if up {
		broke = append(broke, fmt.Sprintf("%s waits for 91 s (%d %s), while %s in its zone has room", bound.ID, status, stance, slowMachine))
	}
	return broke, nil
}

// playEstimate: the owner of an array has no idea how long its tasks run.
func playEstimate(r *rig, troubled bool) (broke []string, err error) {
	if err := r.startAll(); err != nil {
		return nil, err
	}
	job := batch("j-000002", 2, 2)
	if troubled {
		job.FlightS = 0
	}
	r.truth.upload(job)
	if status, answer := r.submit(r.nodes[1], job.body()); status != http.StatusCreated {
		return nil, fmt.Errorf("submission answered %d %s", status, answer)
	}
	if !r.await(95*time.Second, func() bool { _, _, starts := r.truth.countOf(job.ID); return starts > 0 }) {
		broke = append(broke, fmt.Sprintf("%s has not begun after 95 s, and no machine was rented", job.ID))
	}
	return broke, nil
}

// await waits until a condition holds, and reports whether it did in time.
func (r *rig) await(longest time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(longest); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// playLate: a machine cannot reach the controllers for some seconds, in which four tasks of an array
// fetch their image and run there. The other two tasks of the array take longer than these.
func playLate(r *rig, troubled bool) (broke []string, err error) {
	if err := r.startAll(); err != nil {
		return nil, err
	}
	job := batch("j-000002", 6, 4.2)
	job.ImageGB, job.longS, job.longFrom, job.FlightS = 1, 25, 4, 12
	r.truth.upload(job)
	if status, answer := r.submit(r.nodes[1], job.body()); status != http.StatusCreated {
		return nil, fmt.Errorf("submission answered %d %s", status, answer)
	}
	first := r.firstWithTasks(15 * time.Second)
	if first == nil {
		return nil, fmt.Errorf("no machine was sent a task")
	}
	if troubled {
		first.setMute(true)
		r.record.add("worker", "%s reaches no controller from now on; direct commands reach it", first.m.id)
	}
	time.Sleep(4900 * time.Millisecond)
	first.setMute(false)
	r.record.add("worker", "%s reaches the controllers", first.m.id)
	r.await(90*time.Second, func() bool { _, stance := r.poll(r.nodes[2], job.ID); return stance == "done" })
	_, done, starts := r.truth.countOf(job.ID)
	if done < job.Talons {
		broke = append(broke, fmt.Sprintf("%s has %d of %d tasks done 90 s after the trouble, and %d starts", job.ID, done, job.Talons, starts))
	}
	return broke, nil
}

// firstWithTasks returns the first worker that is sent tasks, or nil if there is none in time.
func (r *rig) firstWithTasks(longest time.Duration) *worker {
	for deadline := time.Now().Add(longest); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, w := range r.cloud.workers() {
			w.mu.Lock()
			busy := len(w.tasks) > 0
			w.mu.Unlock()
			if busy {
				return w
			}
		}
	}
	return nil
}
