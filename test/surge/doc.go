// Command surge measures how the admission and retry policies behave under overload. It runs a chain of three services,
// with real nodes and stand-in backend servers on loopback, under each policy and under two baselines.
package main
