// Package soak runs a small deployment of real processes on loopback addresses, on the
// real clock, disturbs it by a plan that is drawn from a seed, and checks what clients,
// workers and operators saw against the rules (docs/soak.md).
//
// plan draws the deployment and the disturbances. system and process start and signal the
// nodes; worker, client, submitter and operator are the stand-ins around them, and
// disturber carries the plan out. All of them write observations into a record. The checks
// (check_*.go) read the record alone, so that each can be tried on an edited one. runner
// puts the parts together.
package soak
