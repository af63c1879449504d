// Package spread disseminates the newest accepted configuration to all nodes. A
// few nodes of each failure domain, the readers, read the platform's log. They
// push accepted tickets through their domain along a tree. A node that learns of
// a newer version at a peer pulls the changes since its own version. Readers
// need no lease or election: acceptance is a pure function of the log, so any
// number of readers reach the same state.
//
// Machine is deterministic: the same options and the same events at the same
// times give the same actions.
package spread
