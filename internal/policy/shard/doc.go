// Package shard decides which process may serve a shard of replicated state, and replicates the state by primary and
// backups. It does no I/O.
//
// The control log holds one assignment per shard at a time: an epoch, a primary and its backups. The primary acts only
// under its newest known epoch and an unexpired control lease. A write is done when every backup of the epoch has it, and
// backups refuse writes of an older epoch. Only a backup of the previous epoch can take over the state. A joining member
// becomes a backup once it has the whole state and takes part in every later write. If all members are lost, the state
// starts empty in a new epoch, which the assignment records as its origin.
package shard
