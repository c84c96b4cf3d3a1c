package suspect

const (
	// MaxNews is the number of ends in one message: about 1200 bytes, so that it needs no
	// fragments.
	MaxNews = 12
	// MaxNewsPerSecond limits the messages of an instance.
	MaxNewsPerSecond = 20
)

// News is what instances tell each other.
type News struct {
	Ended []End `json:"ended,omitempty"`
	// Cleared are contents that a worker served to the end.
	Cleared []Content `json:"cleared,omitempty"`
}

// Valid reports whether news of another instance can be used.
func (n News) Valid() bool {
	if len(n.Ended) > MaxNews || len(n.Cleared) > MaxNews {
		return false
	}
	for _, e := range n.Ended {
		if !e.Valid() {
			return false
		}
	}
	return true
}
