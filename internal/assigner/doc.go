// Package assigner assigns each stream of a pool to one version of its upstreams' software, and finds
// out later which one that was. What two versions write in a stream doesn't fit together, so a stream
// may be resumed at its own version only, by any router, and also when the router that began it is gone.
//
// A Plan divides the hashes of stream ids among the versions, so that the version of a stream follows
// from its id and the plan in force when it began. Routers agree on plans through a store, which keeps a
// History of them for each pool. A new plan is made when the capacities of the versions change; the
// streams in progress that it assigns differently become exceptions, which each router stores once in
// its RouterRow. Nothing is stored for other streams.
//
// A stream may have begun under any plan since the one that its router confirmed in its row. Only if all
// these plans agree is the version known; see History.Find.
//
// # Usage
//
//	var a assigner.Assigner
//	a.Merge("assistant", history)
//	version, ok := a.Begin("assistant", assigner.HashStream(attemptID))
//	...
//	a.End("assistant", id, true, now.Add(patience))
//	row.Pools = a.PoolStreams()
//
// The package does no I/O and has no clock; times are those of the store, in milliseconds, unless they
// are given as a time.Time.
package assigner
