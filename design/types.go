package design

import . "goa.design/goa/v3/dsl"

// Receipt is the response to an accepted edit.
var Receipt = Type("Receipt", func() {
	Attribute("operation", String, "The operation ID of the edit.")
	Attribute("revision", Int64, "The configuration revision that the edit created.")
	Attribute("key", String, "The key ID of the key that was given or withdrawn.")
	Attribute("secret", String, "The secret of the new key, which is in the response to the first request only.")
	Required("operation", "revision")
})

// ProfileSummary describes a profile in a list.
var ProfileSummary = Type("ProfileSummary", func() {
	Attribute("name", String, "The profile's name.")
	Attribute("revision", Int64, "The profile's revision, which is the base revision of its next edit.")
	Attribute("routes", Int, "The number of routes.")
	Attribute("services", ArrayOf(String), "The services that the profile is assigned to, in alphabetical order.")
	Required("name", "revision", "routes", "services")
})

// ProfileList holds all profiles in alphabetical order.
var ProfileList = Type("ProfileList", func() {
	Attribute("revision", Int64, "The configuration revision that was read.")
	Attribute("profiles", ArrayOf(ProfileSummary), "The profiles.")
	Required("revision", "profiles")
})

// ProfileView holds one profile as a profile file, ready to be edited and applied again.
var ProfileView = Type("ProfileView", func() {
	Attribute("name", String, "The profile's name.")
	Attribute("revision", Int64, "The profile's revision, which is the base revision of its next edit.")
	Attribute("document", String, "The profile in the form of a profile file.")
	Required("name", "revision", "document")
})

// Assignment binds a service to a profile.
var Assignment = Type("Assignment", func() {
	Attribute("service", String, "The service's name.")
	Attribute("profile", String, "The name of the profile that is assigned to the service.")
	Attribute("revision", Int64, "The assignment's revision, which is the base revision of its next edit.")
	Required("service", "profile", "revision")
})

// AssignmentList holds all assignments, sorted by service.
var AssignmentList = Type("AssignmentList", func() {
	Attribute("revision", Int64, "The configuration revision that was read.")
	Attribute("assignments", ArrayOf(Assignment), "The assignments.")
	Required("revision", "assignments")
})

// CustomerKey is a customer key without its secret.
var CustomerKey = Type("CustomerKey", func() {
	Attribute("id", String, "The key ID, which is the key's public identifier.")
	Attribute("customer", String, "The customer's name.")
	Attribute("revision", Int64, "The configuration revision at which the customer was given the key.")
	Required("id", "customer", "revision")
})

// KeyList holds all keys, sorted by customer and revision.
var KeyList = Type("KeyList", func() {
	Attribute("revision", Int64, "The configuration revision that was read.")
	Attribute("keys", ArrayOf(CustomerKey), "The keys.")
	Required("revision", "keys")
})

// Member is a node that is registered at a control instance.
var Member = Type("Member", func() {
	Attribute("instance", String, "The node's name.")
	Attribute("service", String, "The service of the backend server beside the node.")
	Attribute("data_centre", String, "The data centre that the node runs in.")
	Attribute("slots", Int, "The number of requests that the backend server runs concurrently, by its own announcement.")
	Attribute("draining", Boolean, "Whether the node has stopped accepting new requests.")
	Required("instance", "service", "data_centre", "slots", "draining")
})

// Status is the state of the control instance that answers.
var Status = Type("Status", func() {
	Attribute("instance", String, "The control instance that answers.")
	Attribute("leader", String, "The leading control instance, empty when unknown.")
	Attribute("quorum_age_millis", Int64, "How long ago the control instance was known to be up to date with a quorum.")
	Attribute("revision", Int64, "The newest accepted configuration revision that the control instance has.")
	Attribute("profiles", Int, "The number of profiles.")
	Attribute("assignments", Int, "The number of assigned services.")
	Attribute("keys", Int, "The number of keys in force.")
	Attribute("members", ArrayOf(Member), "The nodes, sorted by service and instance.")
	Required("instance", "leader", "quorum_age_millis", "revision", "profiles", "assignments", "keys", "members")
})

// Binding is a limit that currently holds requests back at a node.
var Binding = Type("Binding", func() {
	Attribute("kind", String, "The limit's kind, such as concurrency or retry-share.")
	Attribute("service", String, "The service whose calls are held back.")
	Attribute("customer", String, "The customer whose requests are held back, empty on open routes and when all are.")
	Attribute("place", String, "The route or member at which the limit applies, empty for the whole service.")
	Attribute("since_millis", Int64, "How long ago the limit began to hold requests back.")
	Attribute("count", Int, "The number of refusals since then.")
	Attribute("limit", Float64, "The value of the limit, in the unit of its kind.")
	Required("kind", "service", "customer", "place", "since_millis", "count", "limit")
})

// NodeView holds the limits that currently hold requests back at a node.
var NodeView = Type("NodeView", func() {
	Attribute("instance", String, "The node's name.")
	Attribute("service", String, "The service of the backend server beside the node.")
	Attribute("bindings", ArrayOf(Binding), "The limits that currently hold requests back, oldest first.")
	Required("instance", "service", "bindings")
})

// Failure is the response to a request that failed or whose outcome is unknown.
var Failure = Type("Failure", func() {
	ErrorName("name", String, "The type of the failure, such as conflict or invalid.")
	Attribute("message", String, "What went wrong and what to do about it.")
	Attribute("field", String, "The path of the first invalid field.")
	Attribute("line", Int, "The line of the first invalid field in the submitted document.")
	Attribute("current", Int64, "The revision of the edited object after the edit that won, 0 when it does not exist.")
	Attribute("leader", String, "The leading control instance, empty when unknown.")
	Attribute("operation", String, "The operation ID with which to resend the edit.")
	Required("name", "message")
})
