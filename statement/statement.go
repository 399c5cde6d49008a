package statement

// Verb says what a statement asks for.
type Verb uint8

// Verbs.
const (
	// Unknown is a text that no rule of the protocol allows.
	Unknown Verb = iota
	// Begin opens a transaction.
	Begin
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and keeps nothing.
	Rollback
	// Read returns an item.
	Read
	// Write changes an item.
	Write
	// Set gives a session value.
	Set
	// Prepare names a statement's shape for this session.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate forgets a prepared name.
	Deallocate
)

var verbNames = [...]string{"unknown", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate"}

// String returns the verb's name in logs.
func (v Verb) String() string { return verbNames[v] }

// Statement is one request of a consumer.
type Statement struct {
	// ID is the consumer's own name for this request. It travels to the target.
	ID   string
	Verb Verb
	// ReadOnly is set for a Begin that promises no write.
	ReadOnly bool
	// Name is that of a session value or of a prepared statement.
	Name string
	// Value is what Set assigns.
	Value string
	// Writes is set if what Prepare names is a write.
	Writes bool
	// Shape is the prepared statement's body.
	Shape string
	// Arguments is what follows the name in Execute, unchanged.
	Arguments string
	// Text is the request as it came, unchanged.
	Text string
}
