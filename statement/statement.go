package statement

// Verb is the kind of a statement.
type Verb uint8

// Verbs.
const (
	// Unknown is a text that the protocol does not allow.
	Unknown Verb = iota
	// Begin opens a transaction.
	Begin
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and discards its writes.
	Rollback
	// Read returns an item.
	Read
	// Write changes an item.
	Write
	// Set assigns a session value.
	Set
	// Prepare names a statement's shape for this session.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate removes a prepared statement.
	Deallocate
)

var verbNames = [...]string{"unknown", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate"}

// String returns the verb's name in logs.
func (v Verb) String() string { return verbNames[v] }

// Statement is one request of a consumer.
type Statement struct {
	// ID is the consumer's identifier of the request. It is passed on to the target.
	ID   string
	Verb Verb
	// ReadOnly is set for the Begin of a read-only transaction.
	ReadOnly bool
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is the value that Set assigns.
	Value string
	// Writes is set if the statement that Prepare names is a write.
	Writes bool
	// Shape is the prepared statement's body.
	Shape string
	// Arguments is the text after the name in Execute, unchanged.
	Arguments string
	// Text is the request as received, unchanged.
	Text string
}
