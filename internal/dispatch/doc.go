// Package dispatch runs the items of batch jobs on an edge node: it polls the owners of
// the shards for items (dequeue), runs them at workers in the capacity that live
// requests leave, and acks or nacks them (design 9).
//
// One poller per store asks it for items. Each item that is delivered has a run of its own,
// which the inFlight table knows by the item's key. Deliveries are leased: a run sends
// the item to a worker only while its shard's owner has confirmed lately that the lease
// holds (inFlight.maySend).
package dispatch
