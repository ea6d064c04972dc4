package jobapi

// jobView is a job as users are shown it.
type jobView struct {
	ID      string `json:"id"`
	State   string `json:"stance"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// errorBody is why a request is refused.
type errorBody struct {
	Error string `json:"error"`
}
