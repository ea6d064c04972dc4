package jobapi

// jobView is the JSON representation of a job in responses.
type jobView struct {
	ID      string `json:"id"`
	State   string `json:"stance"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// errorBody is the JSON body of a response that rejects a request.
type errorBody struct {
	Error string `json:"error"`
}
