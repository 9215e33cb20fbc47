// Package call counts the calls that a stand-in receives.
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
	// Kind is what a call asks for.
	Kind string

	// Counts are calls by kind.
	Counts map[Kind]int64

	// Book counts calls, in total and by client. Callers lock it.
	Book struct {
		Total   Counts            `json:"total"`
		Clients map[string]Counts `json:"clients"`
		// Waiting is the number of watches under way.
		Waiting int `json:"waiting"`
	}
)

// Write tells whether calls of this kind change objects.
func (k Kind) Write() bool { return k == Put || k == Delete }

// New returns an empty book.
func New() *Book { return &Book{Total: Counts{}, Clients: map[string]Counts{}} }

// Add counts one call.
func (b *Book) Add(client string, k Kind) {
	c := b.Clients[client]
	if c == nil {
		c = Counts{}
		b.Clients[client] = c
	}
	c[k]++
	b.Total[k]++
}

// Reset forgets the counts but not the watches under way.
func (b *Book) Reset() {
	b.Total, b.Clients = Counts{}, map[string]Counts{}
}
