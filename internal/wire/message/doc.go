// Package message holds the wire types between the processes of the system, generated from schema/messages.json
// and schema/shards.json.
package message
