package httpreply

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestJSON(t *testing.T) {
	for _, test := range []struct {
		name        string
		encodeErr   error
		status      int
		contentType string
		body        string
	}{
		{"encoded", nil, http.StatusCreated, "application/json", `{"id":"j-1"}`},
		{"not encodable", errors.New("json: unsupported type"), http.StatusInternalServerError, "", ""},
	} {
		recorder := httptest.NewRecorder()
		JSON(recorder, http.StatusCreated, []byte(`{"id":"j-1"}`), test.encodeErr)
		if got := recorder.Result(); got.StatusCode != test.status || got.Header.Get("Content-Type") != test.contentType || recorder.Body.String() != test.body {
			t.Errorf("%s: %d %q %s", test.name, got.StatusCode, got.Header.Get("Content-Type"), recorder.Body)
		}
	}
}
