// Package filter is the chain of filters that a request passes between the caller's socket and a
// target. A request is one transaction: one query, one batch of the extended protocol, or
// everything from BEGIN to COMMIT. Begin with Request, Filter and Chain.
//
// Each filter has one responsibility and one file. From the outside in:
//
//	Recorder     writes one typed record of every decision when the request ends
//	Tagger       reads the kind and the key from the caller's comment
//	Classifier   finds the kind in the session's profile
//	KeyPolicy    requires a key where the kind does
//	Timer        sets the deadline
//	QueueLimiter limits the waiting requests of each profile
//	Floorer      finds the position that the session must see
//	Retrier      makes attempts, within deadline and retry budget
//	Resolver     looks up by key whether a transaction without an answer committed
//	Watermarker  raises the session's watermark to the acknowledged position
//	Acknowledger reports no commit that may have been superseded (the gate)
//	Router       chooses a server that qualifies, and waits for one if time permits
//	Witness      proves that the primary of an exact read leads
//	Admitter     acquires a statement slot of that server
//	Executor     acquires a connection and runs the protocol work on it
//
// Every attempt loads the view once, by one atomic read, and all filters of the attempt use this
// snapshot. A filter that stops a request returns the reason as a *Failure. Only the retrier
// decides what follows, by request.Machine. The package does not parse the wire protocol: Work does.
package filter
