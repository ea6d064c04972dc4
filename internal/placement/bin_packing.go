package placement

import (
	"math"
	"slices"

	"ospreyslip/internal/jobs"
)

// slowFetchFactor is the factor by which a fetch may exceed its nominal time, as defined by the
// protocol.
const slowFetchFactor = 4.0 / 3

// startsTooLate reports whether a job that first has to fetch its image for fetchS seconds may
// miss its start objective. It returns false for a job without one.
func (j *Job) startsTooLate(fetchS float64) bool {
	return j.StartWithinS > 0 && fetchS*slowFetchFactor > j.StartWithinS
}

// bestFit returns the machine on which a task of the job should run, or nil if there is none.
//
// Batch jobs are packed: the machine with the smallest free share after the placement is chosen,
// then the one that has the image sooner. A job without time to restart prefers any other machine
// to a spot machine. For services and gangs an early start matters most, so the time to fetch the
// image is compared first; a gang starts only when its last image has arrived.
//
// With cachedOnly the machine must have the image, and the result is nil if a machine without it
// would be filled better: a cached image does not justify opening an emptier machine.
func (p *planner) bestFit(job *Job, cachedOnly bool) *Machine {
	request, image := TaskRequest(job.Spec), job.Spec.Image
	prioritizeStart := job.Spec.Shape != jobs.Batch
	var best *Machine
	var bestScore [3]float64
	leastLeftover := math.Inf(1) // over all machines that fit, with or without the image
	for _, pool := range p.Index.pools {
		if !p.poolAllowed(job, pool) || !TopologyAllows(job.Spec, job.TasksByZone, pool.zone) {
			continue
		}
		pool.eachWithCPUs(request, func(machine *Machine) (more bool) {
			if !machine.Accepts(job.Spec) || !machine.Free.Fits(request) || p.requireImage && !machine.Images[image] {
				return true
			}
			leftover := freeShareAfter(machine, request)
			leastLeftover = min(leastLeftover, leftover)
			if cachedOnly && !machine.Images[image] {
				return leftover <= leastLeftover
			}
			fetchS := machine.imageFetchS(job.Spec)
			score := [3]float64{0, leftover, fetchS}
			switch {
			case prioritizeStart:
				score = [3]float64{fetchS, leftover, 0}
			case job.NoTimeToRestart && machine.Spot:
				score[0] = 1
			}
			if best == nil || slices.Compare(score[:], bestScore[:]) < 0 {
				best, bestScore = machine, score
			}
			// A pool is iterated fullest first. Once a machine needs no fetch, or a batch task
			// leaves more free than on the best machine, no later machine is better.
			return fetchS > 0 && (prioritizeStart || leftover == bestScore[1])
		})
	}
	if cachedOnly && best != nil && bestScore[1] > leastLeftover {
		return nil
	}
	return best
}

// freeShareAfter returns the sum, over the resource types of a machine, of the share that remains
// free once a task with the given request is placed on it.
func freeShareAfter(machine *Machine, request Resources) float64 {
	rest := machine.Free.AddTimes(request, -1)
	share := 0.0
	if machine.Total.CPUs > 0 {
		share += rest.CPUs / machine.Total.CPUs
	}
	if machine.Total.RAMGB > 0 {
		share += rest.RAMGB / machine.Total.RAMGB
	}
	if machine.Total.GPUs > 0 {
		share += rest.GPUs / machine.Total.GPUs
	}
	return share
}
