package operator

import (
	"context"
	"time"

	"github.com/figpier/figpier"
	api "github.com/figpier/figpier/gen/operator"
	"github.com/figpier/figpier/internal/wire/message"
)

// viewNodeTimeout bounds the wait for a node's answer.
const viewNodeTimeout = 2 * time.Second

// NodeUnreachableError reports a node that is known but could not be asked.
type NodeUnreachableError struct {
	instance figpier.InstanceID
	cause    error
}

// Error implements error.
func (e *NodeUnreachableError) Error() string {
	return "the node " + string(e.instance) + " did not answer: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *NodeUnreachableError) Unwrap() error { return e.cause }

// viewNode asks a node which of its limits currently delay or refuse requests. It returns a *NotFoundError for a node that
// is not registered.
func (r *reader) viewNode(ctx context.Context, i figpier.InstanceID) (*api.NodeView, error) {
	m, ok := r.findMember(i)
	if !ok || r.messenger == nil {
		return nil, newNotFoundError("node", string(i))
	}
	bounded, cancel := context.WithTimeout(ctx, viewNodeTimeout)
	defer cancel()
	var e message.Explanation
	if err := r.messenger.Request(bounded, m.MessageAddress(), figpier.MethodExplain, struct{}{}, &e); err != nil {
		return nil, &NodeUnreachableError{instance: i, cause: err}
	}
	view := &api.NodeView{
		Instance: string(i),
		Service:  string(m.Service()),
		Bindings: []*api.Binding{},
	}
	for _, b := range e.Bindings {
		view.Bindings = append(view.Bindings, &api.Binding{
			Kind:        b.Kind,
			Service:     b.Service,
			Customer:    b.Customer,
			Place:       b.Place,
			SinceMillis: int64(b.SinceMillis),
			Count:       b.Count,
			Limit:       b.Limit,
		})
	}
	return view, nil
}

func (r *reader) findMember(i figpier.InstanceID) (*figpier.Member, bool) {
	if r.registry == nil {
		return nil, false
	}
	for _, m := range r.registry.Since(0).Members() {
		if m.Instance() == i {
			return m, true
		}
	}
	return nil, false
}
