// Package cutoff stores the cut-off ranks that downstream nodes report in their answers, so that a request which would be
// refused further down the call tree is refused before any work is done for it.
//
// Returning cut-offs to the caller follows DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices",
// SoCC 2018). Here a cut-off belongs to a route and covers all hops below it.
package cutoff
