// Schema of the settings file. Each file is unified with #Settings; omitted settings take the default marked with *.

#Address: string & =~"^.+:[0-9]{1,5}$"
#Name:    string & =~"^[A-Za-z_][A-Za-z0-9_]{0,127}$"

#Settings: {
	// The OData front, which is enabled if "sets" is given.
	listen?:  #Address
	feed?:    #Address
	engines?: [...#Engine]
	sets?: {[=~"^[A-Za-z_][A-Za-z0-9_]{0,127}$"]: #Set}

	discovery: #Discovery
	log:       #Log
}

#Engine: {
	id:      string & =~"."
	address: #Address
	kind?:   string
}

#Set: {
	read?:      string
	aggregate?: string
	write?:     string
	key?:       #Name
	keyType?:   string & =~"^Edm\\.[A-Za-z0-9]+$"
	tables?:    int & >=-1
}

// Stored engine list, which allows a start without the control feed.
#Discovery: {
	snapshot: {
		// Folder of the stored engine list; if it is not set, the list is neither written nor read.
		dir?: string & =~"."
		// Number of snapshot files that are kept.
		generations: *4 | int & >=1 & <=100
		// Interval between writes; a write is immediate when an engine starts to drain or is removed.
		every: *10s | duration & >=100ms & <=1h
		// Limit on writes, including immediate and failed ones.
		writesPerMinute: *30 | int & >=1 & <=600
		// Maximum size of a snapshot file; larger ones are neither written nor read.
		maxBytes: *16MiB | size & >=1KiB & <=256MiB
		// Allowed clock skew: a file dated further in the future is skipped.
		clocksDiffer: *2h | duration & >=0s & <=168h
		// Exponential back-off after failed writes: initial and maximum delay.
		pauseLeast: *1s | duration & >=10ms & <=1h
		pauseMost:  *1m | duration & >=10ms & <=24h
	}
	trust: {
		// Time in which the trust in an entry halves unless something confirms it.
		halfLife: *6h | duration & >=1s & <=8760h
		// Trust in an entry that has just been confirmed.
		fresh: *0.95 | number & >0 & <1
		// Time-out of a probe; without an answer the engine counts as unreachable.
		probeWithin: *400ms | duration & >=10ms & <=10s
		// Interval between probes of an entry that needs more evidence; for an unhealthy engine the interval grows
		// from probePause to probePauseMost.
		probePause:     *100ms | duration & >=10ms & <=1m
		probePauseMost: *5s | duration & >=10ms & <=10m
		// Limit on concurrent probes.
		probesAtOnce: *64 | int & >=1 & <=1024
		// Number of available engines from which on no further entries are probed for the first time.
		enough: *1024 | int & >=1 & <=100000
		// Retry-after time for clients if no engine is available and no probe is scheduled.
		advice: *1s | duration & >=100ms & <=1h
	}
}

#Log: {
	format: *"text" | "json"
	// "requests" adds a log line for each step of each request.
	level: *"events" | "requests"
	// Capacity of the queue of unwritten events; further events are dropped and counted while it is full.
	queue: *1024 | int & >=16 & <=65536
}
