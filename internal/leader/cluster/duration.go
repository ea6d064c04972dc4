package cluster

import "time"

// ScaleDuration returns d multiplied by ratio.
func ScaleDuration(d time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(d) * ratio)
}
