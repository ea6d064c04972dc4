package snapshot

// jobRecord is what a snapshot reads of a stored job.
type jobRecord struct {
	State string `json:"stance"`
	Tasks int32  `json:"tasks"`
}
