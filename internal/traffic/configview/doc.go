// Package configview polls the control instances for the configuration and the members of services, and publishes both to
// traffic threads.
package configview
