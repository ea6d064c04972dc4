package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"ospreyslip/internal/emulator"
	"ospreyslip/internal/jobs"
	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/peer"
	"ospreyslip/internal/settings"
)

// lossKind is one way in which the key-value store loses records.
type lossKind struct {
	name string
	lose func(c *cluster, r *rand.Rand, before emulator.StoreBackup)
}

// loseKeys returns a loss of the keys that match. Whether watches show the loss is random.
func loseKeys(match func(r *rand.Rand) func(string) bool) func(*cluster, *rand.Rand, emulator.StoreBackup) {
	return func(c *cluster, r *rand.Rand, _ emulator.StoreBackup) {
		lost := c.world.Store.LoseKeys(r.IntN(2) == 0, match(r))
		c.world.Tracef("LOST %v", lost)
	}
}

// fixedMatch returns a match for loseKeys that needs no random numbers.
func fixedMatch(match func(string) bool) func(*rand.Rand) func(string) bool {
	return func(*rand.Rand) func(string) bool { return match }
}

// lossKinds are the losses to draw from. Their names are written to the file of OSPREYSLIP_LOSSES.
var lossKinds = []lossKind{
	{"one job", loseKeys(func(r *rand.Rand) func(string) bool {
		n := r.IntN(20)
		return func(key string) bool {
			if strings.HasPrefix(key, "job/") {
				n--
			}
			return n == -1
		}
	})},
	{"a range of jobs", loseKeys(func(r *rand.Rand) func(string) bool {
		return emulator.WithPrefix(fmt.Sprintf("job/j-%d", 1+r.IntN(2)))
	})},
	{"a third of all keys", loseKeys(func(r *rand.Rand) func(string) bool {
		return func(key string) bool { return key != "term/holder" && r.IntN(3) == 0 }
	})},
	{"all jobs", loseKeys(fixedMatch(emulator.WithPrefix("job/")))},
	{"the log", loseKeys(fixedMatch(emulator.WithPrefix("book/")))},
	{"the term", loseKeys(fixedMatch(emulator.WithPrefix("term/")))},
	{"everything", loseKeys(fixedMatch(emulator.WithPrefix("")))},
	{"what is newest", func(c *cluster, _ *rand.Rand, before emulator.StoreBackup) {
		c.world.Store.Restore(before)
		c.world.Tracef("PUT BACK")
	}},
}

// concurrentEvents are the events to draw from that take place at the time of a loss. Their names
// are written to the file of OSPREYSLIP_LOSSES.
var concurrentEvents = []struct {
	name string
	do   func(c *cluster, r *rand.Rand, lose func())
}{
	{"nothing", func(_ *cluster, _ *rand.Rand, lose func()) { lose() }},
	{"the leader ends just before", crashLeaderBeforeLoss},
	{"the leader ends just after", crashLeaderAfterLoss},
	{"it ends while records are written", crashLeaderDuringRecovery},
	{"an outage follows", outageAfterLoss},
	{"in an outage", loseDuringOutage},
	{"a machine is lost", failMachineAfterLoss},
	{"answers to transactions are lost", dropTransactionResponses},
}

func crashLeaderBeforeLoss(c *cluster, random *rand.Rand, lose func()) {
	old := c.leader()
	if old == "" {
		lose()
		return
	}
	c.crash(old)
	c.advance(time.Duration(random.IntN(3000)) * time.Millisecond)
	lose()
	c.advance(time.Duration(random.IntN(10)) * time.Second)
	c.start(old)
}

func crashLeaderAfterLoss(c *cluster, random *rand.Rand, lose func()) {
	lose()
	c.advance(time.Duration(random.IntN(4000)) * time.Millisecond)
	old := c.leader()
	if old == "" {
		return
	}
	c.crash(old)
	c.advance(time.Duration(random.IntN(10)) * time.Second)
	c.start(old)
}

func crashLeaderDuringRecovery(c *cluster, _ *rand.Rand, lose func()) {
	lose()
	c.advance(25 * time.Second)
	if old := c.leader(); old != "" {
		c.crash(old)
		c.advance(time.Second)
		c.start(old)
	}
}

func outageAfterLoss(c *cluster, random *rand.Rand, lose func()) {
	lose()
	c.advance(time.Duration(random.IntN(2000)) * time.Millisecond)
	c.world.Store.SetOutage(true)
	c.advance(time.Duration(5+random.IntN(12)) * time.Second)
	c.world.Store.SetOutage(false)
}

func loseDuringOutage(c *cluster, random *rand.Rand, lose func()) {
	c.world.Store.SetOutage(true)
	c.advance(time.Duration(random.IntN(8)) * time.Second)
	lose()
	c.advance(time.Duration(random.IntN(4)) * time.Second)
	c.world.Store.SetOutage(false)
}

func failMachineAfterLoss(c *cluster, random *rand.Rand, lose func()) {
	lose()
	if machines := c.world.Machines(); len(machines) > 0 {
		c.world.KillMachine(machines[random.IntN(len(machines))])
	}
}

func dropTransactionResponses(c *cluster, random *rand.Rand, lose func()) {
	end := c.world.Network.AddFaults(func(_, to, path string) emulator.Fault {
		if to == "state" && path == "/commit" && random.IntN(2) == 0 {
			return emulator.DropResponse
		}
		return emulator.Deliver
	})
	c.advance(2 * time.Second)
	lose()
	c.advance(4 * time.Second)
	end()
}

// lossOutcome is the result of one scenario with a loss.
type lossOutcome struct {
	lossKind, concurrentEvent string
	recoveredAfter            time.Duration // since the loss; 0 if undetected or not complete
	heldJobs                  int
	unfinished                int      // number of unfinished jobs, not counting services
	unfinishedJobs            []string // details of the unfinished jobs
	wronglyDone               []string // jobs that are recorded as done but are not
}

// executeLossScenario has users submit jobs, and the store lose records meanwhile.
func executeLossScenario(c *cluster, seed uint64, outcome *lossOutcome) {
	random := rand.New(rand.NewPCG(seed, 24))
	kind, event := lossKinds[random.IntN(len(lossKinds))], concurrentEvents[random.IntN(len(concurrentEvents))]
	outcome.lossKind, outcome.concurrentEvent = kind.name, event.name
	users := newSimulatedUsers(c)
	for number := range 24 {
		c.advance(time.Duration(random.IntN(3000)) * time.Millisecond)
		userRandom := rand.New(rand.NewPCG(seed, uint64(number)))
		users.submitAndFollow(userRandom, randomJob(random, number), randomBehavior(random))
	}
	before := c.world.Store.Backup()
	c.advance(time.Duration(1+random.IntN(20)) * time.Second)
	lostAt := time.Now()
	event.do(c, random, func() {
		kind.lose(c, random, before)
		lostAt = time.Now()
	})
	for range 200 {
		c.advance(time.Second)
		status := c.recoveryStatus()
		if status.Phase == recoverer.NotRecovering && len(status.Evidence) > 0 && outcome.recoveredAfter == 0 {
			outcome.recoveredAfter = time.Since(lostAt)
		}
	}
	users.stop()
	outcome.heldJobs = c.recoveryStatus().Held
	outcome.compareRecords(c)
}

// compareRecords compares the job records with what the emulated machines have done.
func (o *lossOutcome) compareRecords(c *cluster) {
	for _, key := range c.world.Store.Keys("job/") {
		var record jobs.Record
		if json.Unmarshal(c.world.Store.Value(key), &record) != nil {
			continue
		}
		id := jobs.JobIDFromKey(key)
		if !record.Finished() && (record.Spec == nil || record.Spec.RunsToCompletion()) {
			o.unfinished++
			o.unfinishedJobs = append(o.unfinishedJobs, fmt.Sprintf("%s %s; %s", id, c.world.Store.Value(key), c.queueSummary()))
		}
		spec := c.world.Spec(id)
		if record.State == jobs.Done && !c.world.AllTasksDone(id) || record.State == jobs.Done && spec != nil && !spec.RunsToCompletion() {
			o.wronglyDone = append(o.wronglyDone, id+" is recorded as done")
		}
	}
}

// runLossScenario runs one scenario in a cluster of its own. It fills in the outcome as it
// proceeds, so that the outcome is valid even if the test ends early.
func runLossScenario(t *testing.T, seed uint64, adapt func(*Controller), outcome *lossOutcome) {
	t.Helper()
	runCluster(t, func(set *settings.Settings) {
		set.Operator.AuditIntervalS = 15 // a silent loss is detected only by an audit
	}, func(c *cluster) {
		c.adaptController = adapt
		if adapt != nil { // applies to the running controllers as well
			for _, name := range c.names {
				adapt(c.incarnations[name].controller)
			}
		}
		executeLossScenario(c, seed, outcome)
	})
}

// TestRandomLossCombinations combines losses of records with other events. No rule of the protocol
// may be violated, no job may be recorded as done that is not, and work must go on.
// OSPREYSLIP_SEEDS=100:200 runs other scenarios; OSPREYSLIP_LOSSES=FILE appends the outcome of each
// to the file as a line of JSON.
func TestRandomLossCombinations(t *testing.T) {
	write := outcomeWriter(t)
	for _, seed := range seedsToRun(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var outcome lossOutcome
			defer func() { // deferred, because a failed test may end early
				write(seed, outcome, t.Failed())
				if t.Failed() {
					t.Logf("loss: %s; concurrent event: %s", outcome.lossKind, outcome.concurrentEvent)
				}
			}()
			runLossScenario(t, seed, withoutKnowledgeSource(t), &outcome)
			for _, wrong := range outcome.wronglyDone {
				t.Errorf("%s, but some of its tasks have not completed", wrong)
			}
			if outcome.unfinished > 0 && outcome.heldJobs == 0 {
				t.Errorf("%d jobs are not finished, and none is held: %v", outcome.unfinished, outcome.unfinishedJobs)
			}
		})
	}
}

// withoutKnowledgeSource returns a function that disables a source of knowledge of lost records, to
// measure what the source contributes, or nil if OSPREYSLIP_WITHOUT is empty. The only source that
// can be disabled is "peers".
func withoutKnowledgeSource(t *testing.T) func(*Controller) {
	t.Helper()
	switch without := os.Getenv("OSPREYSLIP_WITHOUT"); without {
	case "":
		return nil
	case "peers":
		return func(controller *Controller) {
			controller.peers.OnLostJobsRequest = func(peer.LostJobsRequest) peer.LostJobsResponse {
				return peer.LostJobsResponse{Compared: true}
			}
		}
	default:
		t.Fatalf("OSPREYSLIP_WITHOUT: %q is not a source that can be disabled", without)
	}
	return nil
}

// outcomeWriter returns a function that appends an outcome to the file of OSPREYSLIP_LOSSES.
// Without such a file, the function does nothing.
func outcomeWriter(t *testing.T) func(seed uint64, outcome lossOutcome, failed bool) {
	t.Helper()
	path := os.Getenv("OSPREYSLIP_LOSSES")
	if path == "" {
		return func(uint64, lossOutcome, bool) {}
	}
	return func(seed uint64, outcome lossOutcome, failed bool) {
		file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			t.Error(err)
			return
		}
		defer file.Close()
		_ = json.NewEncoder(file).Encode(map[string]any{
			"seed": seed, "lost": outcome.lossKind, "beside": outcome.concurrentEvent, "wholeAfterS": outcome.recoveredAfter.Seconds(),
			"held": outcome.heldJobs, "open": outcome.unfinished, "wrong": len(outcome.wronglyDone), "failed": failed,
		})
	}
}

// TestLossScenarioCoverage checks that 100 seeds draw every kind of loss and every concurrent
// event.
func TestLossScenarioCoverage(t *testing.T) {
	var kinds, events []string
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 24))
		kinds = append(kinds, lossKinds[random.IntN(len(lossKinds))].name)
		events = append(events, concurrentEvents[random.IntN(len(concurrentEvents))].name)
	}
	for _, kind := range lossKinds {
		if !slices.Contains(kinds, kind.name) {
			t.Errorf("no scenario draws the loss %q", kind.name)
		}
	}
	for _, event := range concurrentEvents {
		if !slices.Contains(events, event.name) {
			t.Errorf("no scenario draws the concurrent event %q", event.name)
		}
	}
}
