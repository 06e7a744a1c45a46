// Stores the engine list for a start without the control feed, on installations with a persistent disk.
// Not used on the platform, which has no persistent disk.
discovery: {
	snapshot: {
		dir:   "kept-list"
		every: 10s
	}
	trust: halfLife: 6h
}
log: format: "json"
