// Package admission decides which calls a backend server runs, in which order, and which are shed.
//
// A Controller keeps three things: a concurrency limit that it derives from measured service times, a short queue
// ordered by rank, and a cut-off rank that it reports to calling nodes. Sending the cut-off with each answer
// follows DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018).
package admission
