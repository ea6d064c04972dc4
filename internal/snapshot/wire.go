package snapshot

// jobRecord holds the fields of a job's record that a snapshot stores in columns of their own.
type jobRecord struct {
	State string `json:"stance"`
	Tasks int32  `json:"tasks"`
}
