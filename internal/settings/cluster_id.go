package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// ClusterID names a deployment: the same for all its controllers, another for others. It
// is made of the names of the controllers and the address of the state service, so that it
// survives the loss of everything stored there.
func (s *Settings) ClusterID() string {
	names := []string{s.Node}
	for _, peer := range s.Peers {
		names = append(names, peer.Node)
	}
	slices.Sort(names)
	sum := sha256.Sum256([]byte(s.Endpoints.Store + "\n" + strings.Join(names, "\n")))
	return hex.EncodeToString(sum[:8])
}
