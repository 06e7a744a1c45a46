// Logs each step of each request, to trace a request by its id across the managers that handled it. Not enabled in production.
log: {
	level: "requests"
	queue: 65536
}
