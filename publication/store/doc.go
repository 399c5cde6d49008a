// Package store runs the state machine of package publication on objects of the platform's store:
//
//	profiles/drafts/<id>        open drafts, with their pending audit entries
//	profiles/current            the record in force; a publish is one update of it
//	profiles/sets/<generation>  archive of every record
//
// Begin with Store. Each change is written together with its audit entry, in one update of the
// changed object, and the entry is appended to the audit trail afterwards. If a command is killed in
// between, the next one finds the entry in the object, because each command begins with Recover. A
// record is settled once it is in the archive, which is written last.
package store
