// Package routing selects the member of a service that receives a call.
//
// The nearest members are preferred: those of the same data centre, then those of the same region, and those of other
// regions only while all nearer ones are saturated. Of these, the less loaded of two random members is selected
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001). Members that fail repeatedly are ejected for
// a time, and members that become available receive less load at first.
package routing
