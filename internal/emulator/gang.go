package emulator

import (
	"time"

	"ospreyslip/internal/workers"
)

// gang is one attempt of a gang, wherever its tasks are.
type gang struct {
	size    int
	joined  map[string]*Worker // tasks that have their image
	started time.Time          // when all had it
	broken  time.Time          // when one was lost after that
	stopped time.Time          // when the first was told to stop, with time to save
	told    map[string]bool
	done    bool
	saved   bool
}

func (w *World) gang(t workers.Task) *gang {
	id, _, _ := workers.SplitTask(t.Task)
	key := gangKey{id, t.Attempt}
	g := w.gangs[key]
	if g == nil {
		g = &gang{size: w.specs[id].Tasks, joined: map[string]*Worker{}, told: map[string]bool{}}
		w.gangs[key] = g
	}
	return g
}

type gangKey struct {
	job     string
	attempt uint64
}

// Gangs returns how many attempts of a job's gang have started.
func (w *World) Gangs(id string) (started int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, g := range w.gangs {
		if k.job == id && !g.started.IsZero() {
			started++
		}
	}
	return started
}

// gangStep brings a task of a gang up to now. It returns its state and, if it has
// ended, why.
func (w *World) gangStep(wk *Worker, t *running) (state, cause string, saved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _ := workers.SplitTask(t.Task.Task)
	job, g, now := w.specs[id], w.gang(t.Task), time.Now()
	if t.State == workers.Gathering {
		if g.joined[t.Task.Task] == nil {
			g.joined[t.Task.Task] = wk
			if len(g.joined) == g.size && g.started.IsZero() {
				g.started = now
			}
		}
		switch {
		case !g.started.IsZero():
			return workers.Running, "", false
		case now.Sub(t.since) > w.Pace.GangWait:
			delete(g.joined, t.Task.Task)
			return workers.Ended, workers.CauseIncomplete, false
		}
		return t.State, "", false
	}
	run := time.Duration(job.EstimatedRuntimeS * float64(time.Second))
	over := g.started.Add(run - w.progress[id])
	switch {
	case g.done || g.broken.IsZero() && g.stopped.IsZero() && !now.Before(over):
		g.done = true
		for n := range job.Tasks {
			w.done[workers.TaskName(id, n)] = true
		}
		return workers.Ended, workers.CauseDone, false
	case g.saved:
		return workers.Ended, workers.CauseStopped, true
	case !g.broken.IsZero():
		return workers.Ended, workers.CauseMatesGone, false
	case !g.stopped.IsZero() && len(g.told) == g.size && now.Sub(g.stopped).Seconds() >= job.CheckpointSaveS:
		g.saved = true
		w.progress[id] += g.stopped.Sub(g.started)
		return workers.Ended, workers.CauseStopped, true
	case !g.stopped.IsZero() && len(g.told) < g.size && now.Sub(g.stopped) > w.Pace.GangPeer:
		g.broken = now
		return workers.Ended, workers.CauseMatesGone, false
	}
	return t.State, "", false
}

// gangStop tells a task of a running gang to stop. It returns false if it exits at
// once.
func (w *World) gangStop(t *running, grace float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _ := workers.SplitTask(t.Task.Task)
	if job := w.specs[id]; t.State != workers.Running || job.CheckpointIntervalS == 0 || grace < job.CheckpointSaveS {
		return false
	}
	g := w.gang(t.Task)
	if g.stopped.IsZero() {
		g.stopped = time.Now()
	}
	g.told[t.Task.Task] = true
	return true
}

// gangLeft takes in that a task of a gang is gone.
func (w *World) gangLeft(t workers.Task) {
	g := w.gang(t)
	delete(g.joined, t.Task)
	if !g.started.IsZero() && !g.done && !g.saved && g.broken.IsZero() {
		g.broken = time.Now()
	}
}
