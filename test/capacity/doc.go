// Command capacity measures the processor time and memory that a control instance uses for its nodes, which are simulated.
package main
