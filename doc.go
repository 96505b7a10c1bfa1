// Package figpier defines the core types of the overload control layer and the interfaces of its services.
package figpier
