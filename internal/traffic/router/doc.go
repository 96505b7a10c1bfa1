// Package router picks the member of a service that a call is sent to. It avoids members that fail or refuse the call's rank.
package router
