// What a settings file may hold. Every file is unified with #Settings; what it leaves out has the default marked *.

#Address: string & =~"^.+:[0-9]{1,5}$"
#Name:    string & =~"^[A-Za-z_][A-Za-z0-9_]{0,127}$"

#Settings: {
	// The OData front: on where "sets" is given.
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

// Starting without the control feed.
#Discovery: {
	snapshot: {
		// The folder of the kept list; without it nothing is kept, and none is read.
		dir?: string & =~"."
		// Files that are kept.
		generations: *4 | int & >=1 & <=100
		// Between two writes while no engine begins to drain and none ends.
		every: *10s | duration & >=100ms & <=1h
		// Writes at most, urgent and failed ones included.
		writesPerMinute: *30 | int & >=1 & <=600
		// Of one file; a larger one is neither written nor read.
		maxBytes: *16MiB | size & >=1KiB & <=256MiB
		// A file dated later than now by more than this is skipped.
		clocksDiffer: *2h | duration & >=0s & <=168h
		// After a failed write: the first pause, and the one to which pauses grow.
		pauseLeast: *1s | duration & >=10ms & <=1h
		pauseMost:  *1m | duration & >=10ms & <=24h
	}
	trust: {
		// After this, trust in an entry that nothing has confirmed has halved.
		halfLife: *6h | duration & >=1s & <=8760h
		// Trust in an entry that was confirmed just now.
		fresh: *0.95 | number & >0 & <1
		// A probe not answered by then counts as silence.
		probeWithin: *400ms | duration & >=10ms & <=10s
		// Between two probes of an entry that needs more evidence; pauses of an ill one grow from it to the second.
		probePause:     *100ms | duration & >=10ms & <=1m
		probePauseMost: *5s | duration & >=10ms & <=10m
		// Probes that may be out at once.
		probesAtOnce: *64 | int & >=1 & <=1024
		// Engines offered from which on no further entry is probed for the first time.
		enough: *1024 | int & >=1 & <=100000
		// When to come back if nothing can be offered and no probe is due.
		advice: *1s | duration & >=100ms & <=1h
	}
}

#Log: {
	format: *"text" | "json"
	// "requests" adds a line for each step of each request.
	level: *"events" | "requests"
	// Events that wait to be written; what comes when they are so many is dropped and counted.
	queue: *1024 | int & >=16 & <=65536
}
