// Package httpreply writes JSON answers of HTTP APIs.
package httpreply

import "net/http"

// JSON answers with a status and an encoded body. The API encodes the body itself, as APIs
// differ in the package that they encode by; if that failed, the answer is 500 without a body. An
// error of writing is ignored: the client is gone.
func JSON(w http.ResponseWriter, status int, encoded []byte, encodeErr error) {
	if encodeErr != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
