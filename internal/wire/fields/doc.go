// Package fields tells which fields a JSON object has, for the checks of required fields in generated wire types.
package fields
