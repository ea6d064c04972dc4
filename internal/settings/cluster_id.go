package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// ClusterID returns an identifier that all controllers of a deployment share and that differs
// between deployments. It is a hash of the controllers' names and the address of the state
// service, so it survives the loss of all stored records.
func (s *Settings) ClusterID() string {
	names := []string{s.ControllerName}
	for _, peer := range s.Peers {
		names = append(names, peer.ControllerName)
	}
	slices.Sort(names)
	sum := sha256.Sum256([]byte(s.Endpoints.Store + "\n" + strings.Join(names, "\n")))
	return hex.EncodeToString(sum[:8])
}
