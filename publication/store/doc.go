// Package store drives the state machine of package publication against the
// platform's objects:
//
//	profiles/drafts/<id>        open drafts, with their audit acts
//	profiles/current            the record in force; a publish is one update of it
//	profiles/sets/<generation>  archive of every record
//
// Every change carries its audit act in the object that it changes, and the act
// goes to the trail afterwards. A command that is killed in between leaves the
// act where the next command finds it: each one begins with Recover. A record
// is settled once it stands in the archive, which is written last.
package store
