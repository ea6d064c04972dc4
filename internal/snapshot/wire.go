package snapshot

// jobRecord holds the fields of a stored job that a snapshot shows.
type jobRecord struct {
	State string `json:"stance"`
	Tasks int32  `json:"tasks"`
}
