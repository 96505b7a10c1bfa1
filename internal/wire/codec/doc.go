// Package codec converts between the core types and their wire forms, the generated types of internal/wire/message. Wire
// forms have durations as whole numbers of the unit in the field's name.
package codec
