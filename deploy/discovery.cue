// Starting without the control feed, for installations with a disk that lasts. Off on the platform, which has none.
discovery: {
	snapshot: {
		dir:   "kept-list"
		every: 10s
	}
	trust: halfLife: 6h
}
log: format: "json"
