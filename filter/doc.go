// Package filter is the chain that a request passes from the caller's socket to
// a target and back. A request is one transaction: one query, one batch of the
// extended protocol, or everything from BEGIN to COMMIT.
//
// Each filter has one job and one file. From the outside in:
//
//	Recorder     one typed record of every decision, at the end
//	Tagger       kind and key from the caller's comment
//	Classifier   the kind within the session's profile
//	KeyPolicy    a key where the kind requires one
//	Timer        the deadline
//	Bounder      no more waiting requests than the profile allows
//	Floorer      what the session must see
//	Retrier      attempts, within deadline and budget
//	Resolver     learns by its key if a transaction without an answer committed
//	Watermarker  raises the session's watermark by what was acknowledged
//	Acknowledger the gate: no commit is reported that may have been superseded
//	Router       a server that qualifies, waiting for one if it pays
//	Witness      proof that the primary of an exact read leads
//	Admitter     a slot of that server
//	Executor     a connection, and the protocol work on it
//
// Every attempt loads the view once, by one atomic read, and all filters of
// that attempt use this picture. A filter says why it stopped a request by a
// *Failure; the retrier alone decides what follows, by request.Machine.
package filter
