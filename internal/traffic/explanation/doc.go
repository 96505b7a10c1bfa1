// Package explanation collects which limits of a node are holding requests back, for whom and since when.
package explanation
