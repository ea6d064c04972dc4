// Package httpreply writes JSON responses of HTTP APIs.
package httpreply

import "net/http"

// JSON writes a response with the given status and the encoded body. If encodeErr is not nil, it
// writes status 500 without a body instead. Callers encode the body themselves because they use
// different JSON packages. Write errors are ignored: the client has disconnected.
func JSON(w http.ResponseWriter, status int, encoded []byte, encodeErr error) {
	if encodeErr != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
