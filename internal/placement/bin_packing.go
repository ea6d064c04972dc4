package placement

import (
	"math"
	"slices"

	"ospreyslip/internal/jobs"
)

// bestFit returns the fullest machine that fits. A service starts sooner where
// its image is, and a gang with its last image: that goes first for them and breaks
// ties for others. What has no
// time to begin twice goes to a machine that is not taken back, if one has room. If
// so asked, it returns nil unless such a machine has the image.
func (p *planner) bestFit(job *Job, onlyWithImage bool) *Machine {
	request := TaskRequest(job.Spec)
	startCounts := job.Spec.Shape != jobs.Batch // its start is what counts
	var best *Machine
	var bestScore [3]float64
	leastLeftover := math.Inf(1) // that any machine would have left
	for _, pool := range p.Index.pools {
		if !p.allowsPool(job, pool) || !TopologyAllows(job.Spec, job.TasksByZone, pool.zone) {
			continue
		}
		pool.eachWithCPUs(request, func(machine *Machine) bool {
			if !machine.accepts(job) || !machine.Free.Fits(request) || p.onlyWithImage && !machine.Images[job.Spec.Image] {
				return true
			}
			leftover := freeShareAfter(machine, request)
			if leastLeftover = min(leastLeftover, leftover); onlyWithImage && !machine.Images[job.Spec.Image] {
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
			// The next ones of this kind are emptier.
			return fetchS > 0 && (startCounts || leftover == bestScore[1])
		})
	}
	if onlyWithImage && best != nil && bestScore[1] > leastLeftover {
		return nil // an image is no reason to open an emptier machine
	}
	return best
}

// freeShareAfter is the share of a machine that stays free.
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
