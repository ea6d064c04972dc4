package leader

import (
	"hash/fnv"
	"slices"
	"time"

	"ospreyslip/internal/jobs"
	"ospreyslip/internal/liveness"
	"ospreyslip/internal/placement"
	"ospreyslip/internal/workers"
)

// phase of a machine.
type phase int

const (
	booting   phase = iota // rented, not heard of
	up                     // has reported
	returning              // being released
)

type machine struct {
	id, addr, typ, zone string
	spot                bool
	phase               phase
	session             uint64
	seq                 uint64
	lastReport          liveness.HeartbeatSeq // newest report, answers to calls aside
	token               uint64                // highest the worker has shown
	wantsToken          bool                  // a higher one, if there is one: see tokenFor
	reportedTasks       []workers.Task
	reported            time.Time // when its last report came
	leaseUntil          time.Time // by then a worker unheard has ended its tasks
	assigned            map[uint64]*assignment
	room                placement.Resources // taken by assignments
	offer               *placement.Machine  // as placement sees it
	avoid               map[string]time.Time
	images              []image // that it has, the one used last at the end
	dead                bool    // the verdict is out
	draining            bool
	slowness            float64 // odds that it is slow by the tasks that ran on it, as a logarithm
	noticeUntil         time.Time
	known               time.Time // when this leader learnt of it
	at                  int       // index into all of its machineSet
	group               int       // the tick of a control interval in which it is looked at
	idleSince           time.Time
	notifyPending       bool // has something to be told at once
	orderBusy           bool
	orderAfter          time.Time
	orderFails          int // orders in a row that had no answer
	doubtSince          time.Time
	ordered             map[ref]uint64  // what was begun by an order, with its token
	failures            map[string]bool // jobs that failed here since one succeeded
	listed              time.Time       // when the newest list that had it was asked for
	runningSince        time.Time       // since when the list has it as running
	lastCalls           []workers.Call  // what the last answer asked for
	undelivered         int             // answers in a row of which nothing came
}

// image is one that a machine keeps.
type image struct {
	name string
	gb   float64
}

// used notes that a machine has an image. It keeps those used last, as far as
// there is room for them.
func (m *machine) used(s *jobs.Spec, cacheGB float64) {
	m.images = slices.DeleteFunc(m.images, func(i image) bool { return i.name == s.Image })
	m.images = append(m.images, image{s.Image, s.ImageGB})
	m.offer.Images[s.Image] = true
	delete(m.offer.Fetching, s.Image)
	held := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		if held += m.images[i].gb; held > cacheGB && cacheGB > 0 {
			for _, old := range m.images[:i+1] {
				delete(m.offer.Images, old.name)
			}
			m.images = m.images[i+1:]
			return
		}
	}
}

func newMachine(id string, now time.Time) *machine {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	return &machine{
		id: id, known: now, idleSince: now, group: int(sum.Sum32() % ticksPerInterval),
		assigned: map[uint64]*assignment{}, avoid: map[string]time.Time{}, failures: map[string]bool{}, ordered: map[ref]uint64{},
		offer: &placement.Machine{ID: id, Images: map[string]bool{}, Fetching: map[string]float64{}, AvoidJobs: map[string]bool{}},
	}
}
