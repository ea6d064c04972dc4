package placement

import (
	"math"
	"slices"

	"ospreyslip/internal/jobs"
)

// slowFetchFactor is how much longer than at the nominal rate a fetch may take, from the
// protocol.
const slowFetchFactor = 4.0 / 3

// startsTooLate tells whether a job that first has to fetch its image for fetchS seconds may
// miss its objective for a start, if it has one.
func (j *Job) startsTooLate(fetchS float64) bool {
	return j.StartWithinS > 0 && fetchS*slowFetchFactor > j.StartWithinS
}

// bestFit returns the machine on which a task of the job should run, or nil.
//
// Batch jobs are packed: the machine that is left with the smallest free share wins, then the
// one that has the image sooner; a job without time to restart prefers any machine to a spot
// machine. For services and gangs the start counts: the time to fetch the image comes first,
// since a gang starts with its last image.
//
// With cachedOnly a machine must have the image, and the result is nil if another machine
// would be filled better: an image is no reason to open an emptier machine.
func (p *planner) bestFit(job *Job, cachedOnly bool) *Machine {
	request, image := TaskRequest(job.Spec), job.Spec.Image
	startCounts := job.Spec.Shape != jobs.Batch
	var best *Machine
	var bestScore [3]float64
	leastLeftover := math.Inf(1) // of all machines that fit, with the image or not
	for _, pool := range p.Index.pools {
		if !p.poolAllowed(job, pool) || !TopologyAllows(job.Spec, job.TasksByZone, pool.zone) {
			continue
		}
		pool.eachWithCPUs(request, func(machine *Machine) (more bool) {
			if !machine.accepts(job) || !machine.Free.Fits(request) || p.requireImage && !machine.Images[image] {
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
			case startCounts:
				score = [3]float64{fetchS, leftover, 0}
			case job.NoTimeToRestart && machine.Spot:
				score[0] = 1
			}
			if best == nil || slices.Compare(score[:], bestScore[:]) < 0 {
				best, bestScore = machine, score
			}
			// The machines of a pool come fullest first: once one needs no fetch, or a batch
			// task is left with more than on the best, no later one is better.
			return fetchS > 0 && (startCounts || leftover == bestScore[1])
		})
	}
	if cachedOnly && best != nil && bestScore[1] > leastLeftover {
		return nil
	}
	return best
}

// freeShareAfter sums up, over the kinds of resources that a machine has, the share that stays
// free once a task with the request is on it.
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
