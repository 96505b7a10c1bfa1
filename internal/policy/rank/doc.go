// Package rank computes the rank of an end-to-end request: its position in the order in which every hop sheds load.
//
// Using one order at all hops of a call tree follows DAGOR (Zhou et al., "Overload Control for Scaling WeChat
// Microservices", SoCC 2018).
package rank
