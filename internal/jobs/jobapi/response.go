package jobapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"ospreyslip/internal/httpreply"
)

// response is the status and body sent for a request.
type response struct {
	status     int
	body       any
	retryAfter bool // whether to send a Retry-After header
}

// stateResponse returns a response with a job's state.
func stateResponse(id, state string) *response {
	return &response{status: http.StatusOK, body: jobView{ID: id, State: state}}
}

// rejectionResponse returns a response that rejects a request permanently, with the reason.
func rejectionResponse(status int, reason string) *response {
	return &response{status: status, body: errorBody{reason}}
}

// unavailableResponse returns a response that rejects a request for now, with the reason.
func unavailableResponse(reason string) *response {
	return &response{status: http.StatusServiceUnavailable, body: errorBody{reason}, retryAfter: true}
}

// notFoundResponse returns the response to a request for a job that was never accepted.
func notFoundResponse() *response { return rejectionResponse(http.StatusNotFound, "no such job") }

// jobTooLargeText is the reason for which a job is rejected whose record does not fit into a value of the key-value store.
const jobTooLargeText = "job too large"

// Reasons for which a request is rejected for now.
const (
	tooManyRequestsText  = "too many requests at this node"
	noMachineTypesText   = "machine types are not known yet"
	memoryShortText      = "memory is short at this node"
	storeUnavailableText = "state service does not answer"
	recordsMissingText   = "records may be missing"
	notCurrentText       = "this node has just begun and does not know yet whether records are missing"
)

func (a *API) writeResponse(w http.ResponseWriter, resp *response) {
	if resp.retryAfter {
		w.Header().Set("Retry-After", strconv.Itoa(a.retryAfterSeconds()))
	}
	encoded, err := json.Marshal(resp.body)
	httpreply.JSON(w, resp.status, encoded, err)
}

// retryAfterSeconds returns the number of seconds after which a retry may succeed: half of the
// leader's lease, in which an election may have ended or a busy key-value store may have
// recovered.
func (a *API) retryAfterSeconds() int {
	return max(1, int(math.Ceil(a.Derived.Election.LeaseDuration.Seconds()/2)))
}
