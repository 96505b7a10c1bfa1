package design

import . "goa.design/goa/v3/dsl"

var _ = API("figpier", func() {
	Title("figpier operator API")
	Description("Edits and assigns profiles, gives customers keys and withdraws them, and shows the state of control instances and nodes.")
	Server("control", func() {
		Services("operator")
		Host("loopback", func() {
			URI("http://127.0.0.1:7006")
		})
	})
})

// OperatorToken is the security scheme of all methods: a bearer token that identifies the operator.
var OperatorToken = JWTSecurity("operator_token", func() {
	Description("An operator's bearer token.")
})

var _ = Service("operator", func() {
	Description("Management of profiles, assignments and customer keys at run time.")
	Security(OperatorToken)
	declareFailures()
	profileMethods()
	assignmentMethods()
	keyMethods()
	Method("view_status", func() {
		Description("Show the state of the control instance that answers.")
		Payload(func() { tokenAttribute() })
		Result(Status)
		HTTP(func() { GET("/v1/status") })
	})
	Method("view_node", func() {
		Description("Show which limits of a node hold requests back, for which customers and since when.")
		Payload(func() {
			tokenAttribute()
			Attribute("instance", String, "The node's name.")
			Required("instance")
		})
		Result(NodeView)
		HTTP(func() { GET("/v1/nodes/{instance}") })
	})
})

// declareFailures declares the errors of all methods and their HTTP status codes.
func declareFailures() {
	Error("conflict", Failure)
	Error("invalid", Failure)
	Error("not_found", Failure)
	Error("not_leader", Failure)
	Error("outcome_unknown", Failure)
	Error("unreached", Failure)
	Error("unauthorized", Failure)
	Error("internal", Failure)
	HTTP(func() {
		Response("conflict", StatusConflict)
		Response("invalid", StatusBadRequest)
		Response("not_found", StatusNotFound)
		Response("not_leader", StatusServiceUnavailable)
		Response("outcome_unknown", StatusGatewayTimeout)
		Response("unreached", StatusBadGateway)
		Response("unauthorized", StatusUnauthorized)
		Response("internal", StatusInternalServerError)
	})
}

func profileMethods() {
	Method("list_profiles", func() {
		Description("List all profiles in alphabetical order.")
		Payload(func() { tokenAttribute() })
		Result(ProfileList)
		HTTP(func() { GET("/v1/profiles") })
	})
	Method("view_profile", func() {
		Description("Show one profile in the form of a profile file.")
		Payload(func() {
			tokenAttribute()
			Attribute("profile", String, "The profile's name.")
			Required("profile")
		})
		Result(ProfileView)
		HTTP(func() { GET("/v1/profiles/{profile}") })
	})
	Method("apply_profile", func() {
		Description("Create or replace a profile.")
		Payload(func() {
			editAttributes()
			Attribute("profile", String, "The profile's name.")
			Attribute("document", String, "The text of a profile file, JSON with comments.")
			Required("profile", "document")
		})
		Result(Receipt)
		HTTP(func() {
			PUT("/v1/profiles/{profile}")
			editParams()
		})
	})
	Method("delete_profile", func() {
		Description("Delete a profile that is not assigned to any service.")
		Payload(func() {
			editAttributes()
			Attribute("profile", String, "The profile's name.")
			Required("profile")
		})
		Result(Receipt)
		HTTP(func() {
			DELETE("/v1/profiles/{profile}")
			editParams()
		})
	})
}

func assignmentMethods() {
	Method("list_assignments", func() {
		Description("List all assignments, sorted by service.")
		Payload(func() { tokenAttribute() })
		Result(AssignmentList)
		HTTP(func() { GET("/v1/assignments") })
	})
	Method("assign", func() {
		Description("Assign a profile to a service, in place of the one that it has.")
		Payload(func() {
			editAttributes()
			Attribute("service", String, "The service's name.")
			Attribute("profile", String, "The profile's name.")
			Required("service", "profile")
		})
		Result(Receipt)
		HTTP(func() {
			PUT("/v1/assignments/{service}")
			editParams()
		})
	})
}

func keyMethods() {
	Method("list_keys", func() {
		Description("List all keys without their secrets, sorted by customer and revision.")
		Payload(func() { tokenAttribute() })
		Result(KeyList)
		HTTP(func() { GET("/v1/keys") })
	})
	Method("give_key", func() {
		Description("Give a customer a key. The secret is in the response to the first request only.")
		Payload(func() {
			tokenAttribute()
			operationAttribute()
			Attribute("customer", String, "The customer's name.")
			Required("customer")
		})
		Result(Receipt)
		HTTP(func() {
			POST("/v1/keys")
			Param("operation")
		})
	})
	Method("withdraw_key", func() {
		Description("Withdraw a key. No base revision is needed, as a key never changes.")
		Payload(func() {
			tokenAttribute()
			operationAttribute()
			Attribute("key", String, "The key ID.")
			Required("key")
		})
		Result(Receipt)
		HTTP(func() {
			DELETE("/v1/keys/{key}")
			Param("operation")
		})
	})
}

func tokenAttribute() {
	Token("token", String, "The operator's token.")
	Required("token")
}

// operationAttribute adds the operation ID, by which a resend of an edit is recognised.
func operationAttribute() {
	Attribute("operation", String, "The operation ID, which identifies the edit: a resend with the same one gets the first response. One is generated when it is absent.", func() {
		MaxLength(128)
	})
}

// editAttributes adds the attributes of an edit that has a base revision.
func editAttributes() {
	tokenAttribute()
	operationAttribute()
	Attribute("base", Int64, "The base revision, which is the revision of the edited object that the edit is based on, 0 to create the object.", func() {
		Minimum(0)
	})
	Required("base")
}

// editParams maps the operation ID and the base revision of such an edit to query parameters.
func editParams() {
	Param("operation")
	Param("base")
}
