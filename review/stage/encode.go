package main

import "encoding/json"

// encode returns a value as JSON.
func encode(value any) []byte {
	raw, _ := json.Marshal(value)
	return raw
}
