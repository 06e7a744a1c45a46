// Each step of each request in the log, to follow one by its id through all managers that handled it; off in service.
log: {
	level: "requests"
	queue: 65536
}
