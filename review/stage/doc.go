// Command stage plays one case of the second review: it starts three controllers as processes, with
// stand-ins for the state service, the cloud, the workers and the users, brings about the case's
// disruption and judges the rule of the case. The stand-ins are those of internal/emulator, on free
// loopback addresses.
package main
