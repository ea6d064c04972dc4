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

func (w *World) gang(t workers.TaskStatus) *gang {
	id, _, _ := workers.SplitTask(t.Name)
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

// GangStarts returns how many attempts of a job's gang have started.
func (w *World) GangStarts(id string) (started int) {
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
	id, _, _ := workers.SplitTask(t.TaskStatus.Name)
	job, g, now := w.specs[id], w.gang(t.TaskStatus), time.Now()
	if t.State == workers.StateGathering {
		if g.joined[t.TaskStatus.Name] == nil {
			g.joined[t.TaskStatus.Name] = wk
			if len(g.joined) == g.size && g.started.IsZero() {
				g.started = now
			}
		}
		switch {
		case !g.started.IsZero():
			return workers.StateRunning, "", false
		case now.Sub(t.since) > w.Workers.GangWait:
			delete(g.joined, t.TaskStatus.Name)
			return workers.StateEnded, workers.CauseIncomplete, false
		}
		return t.State, "", false
	}
	run := time.Duration(job.EstimateS * float64(time.Second))
	over := g.started.Add(run - w.progress[id])
	switch {
	case g.done || g.broken.IsZero() && g.stopped.IsZero() && !now.Before(over):
		g.done = true
		for n := range job.Tasks {
			w.done[workers.TaskName(id, n)] = true
		}
		return workers.StateEnded, workers.CauseDone, false
	case g.saved:
		return workers.StateEnded, workers.CauseStopped, true
	case !g.broken.IsZero():
		return workers.StateEnded, workers.CauseMatesGone, false
	case !g.stopped.IsZero() && len(g.told) == g.size && now.Sub(g.stopped).Seconds() >= job.SaveS:
		g.saved = true
		w.progress[id] += g.stopped.Sub(g.started)
		return workers.StateEnded, workers.CauseStopped, true
	case !g.stopped.IsZero() && len(g.told) < g.size && now.Sub(g.stopped) > w.Workers.GangStopWindow:
		g.broken = now
		return workers.StateEnded, workers.CauseMatesGone, false
	}
	return t.State, "", false
}

// gangStop tells a task of a running gang to stop. It returns false if it exits at
// once.
func (w *World) gangStop(t *running, grace float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _, _ := workers.SplitTask(t.TaskStatus.Name)
	if job := w.specs[id]; t.State != workers.StateRunning || job.CheckpntS == 0 || grace < job.SaveS {
		return false
	}
	g := w.gang(t.TaskStatus)
	if g.stopped.IsZero() {
		g.stopped = time.Now()
	}
	g.told[t.TaskStatus.Name] = true
	return true
}

// gangLeft takes in that a task of a gang is gone.
func (w *World) gangLeft(t workers.TaskStatus) {
	g := w.gang(t)
	delete(g.joined, t.Name)
	if !g.started.IsZero() && !g.done && !g.saved && g.broken.IsZero() {
		g.broken = time.Now()
	}
}
