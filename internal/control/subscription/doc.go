// Package subscription answers nodes' polls for changes of the configuration and of the members.
package subscription
