package gate

// BodyBytes returns the total size of the bodies of the queued and running requests.
func (g *Gate) BodyBytes() int {
	return g.bodyBytes()
}

// SetMaxBodyBytes changes Config.MaxBodyBytes, as other parts of the daemon take or
// leave memory. It holds for requests that arrive afterwards.
func (g *Gate) SetMaxBodyBytes(bytes int) {
	g.cfg.MaxBodyBytes = bytes
}
