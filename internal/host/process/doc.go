// Package process assembles the services of a node or of a control instance from its settings.
package process
