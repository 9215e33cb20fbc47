// Package call counts the API calls that a simulated component receives.
package call

// Kinds of calls to the platform.
const (
	Get    Kind = "get"
	Put    Kind = "put"
	Delete Kind = "delete"
	List   Kind = "list"
	Watch  Kind = "watch"
	VMs    Kind = "vms"
)

type (
	// Kind is the operation of a call.
	Kind string

	// Counts holds the number of calls by kind.
	Counts map[Kind]int64

	// Counter counts calls, in total and by client. It is not safe for
	// concurrent use.
	Counter struct {
		Total   Counts            `json:"total"`
		Clients map[string]Counts `json:"clients"`
		// Watches is the number of open watches.
		Watches int `json:"waiting"`
	}
)

// IsWrite reports whether calls of this kind change objects.
func (k Kind) IsWrite() bool { return k == Put || k == Delete }

// New returns an empty counter.
func New() *Counter { return &Counter{Total: Counts{}, Clients: map[string]Counts{}} }

// Add counts one call.
func (c *Counter) Add(client string, k Kind) {
	counts := c.Clients[client]
	if counts == nil {
		counts = Counts{}
		c.Clients[client] = counts
	}
	counts[k]++
	c.Total[k]++
}

// Reset sets the counts to zero, but keeps the number of open watches.
func (c *Counter) Reset() {
	c.Total, c.Clients = Counts{}, map[string]Counts{}
}
