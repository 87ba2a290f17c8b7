// Package balancer selects the worker for a request: by load, zone and the prompt
// prefixes that the worker probably has in its cache (design 7).
//
// Requests call it from their own goroutines. In place of a command queue each table
// is guarded by a short critical section (design 1.5): Balancer.mu guards what is
// known of the workers, and prefixCache, prefixGroups, Outcomes and FirstByteTimes
// each have a lock of their own. Where two are held, Balancer.mu is taken first.
package balancer
