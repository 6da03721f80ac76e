// What the program's files may hold. A file has one or more of these parts; each command takes its own.
#File: {
	router?: #Router
	worker?: #Worker
	list?:   #List
	relay?:  #Relay
	load?:   #Load
	day?:    #Day
}

// One router process.
#Router: {
	name:   string
	listen: string
	list:   string
	// Serves its figures as text for Prometheus.
	metrics?: string
	// Where it keeps the last list, to start with it again.
	keep?: string
	seed?: int & >=0
	// Threads that each run a router of their own behind the same address.
	cores: int & >=1 & <=64 | *1
	tracks: [#Track, ...#Track]
	kinds: [#Kind, ...#Kind]
	terms: #Terms
	// Who may use it; with none anybody may, and nobody's share is kept.
	tenants: [...#Tenant] | *[]
	// Tenants are kept in a store and administered while it runs.
	admin?: #Admin
	// The routers that it knows and that know it; without, it runs alone.
	fleet?: #Fleet
}

// Routers of one name and key that tell each other by datagrams who is there.
#Fleet: {
	name:   string
	// Where it hears the others, as they reach it.
	listen: string
	// Where some of them are; its own address may stand among them, so that all can have the same ones.
	seeds: [string, ...string]
	// The same for all of the fleet, as 64 hexadecimal digits.
	key: string
}

// The administration API: where it listens, the file of its store, and who may use it.
#Admin: {
	listen: string
	store:  string
	keys: [#AdminKey, ...#AdminKey]
}

#AdminKey: {
	name: string
	// The BLAKE3 of the key, as 64 hexadecimal digits.
	key:  string
	// view: read; operate: change tenants too; own: take snapshots too.
	role: "view" | "operate" | "own"
}

// One customer of the service. Limits hold for all routers together; each keeps its part of them.
#Tenant: {
	name: string
	// The BLAKE3 of its key, as 64 hexadecimal digits; a day makes keys up itself.
	key: string | *""
	// Its part of what there is against others that have work; 0 for what they leave.
	weight: number & >=0 & <=1000000 | *1
	// Submissions and prompt tokens a second, and how many at once; without, no limit.
	submissions?:     number & >=0
	submissions_once: number & >=1 | *10
	tokens?:          number & >=0
	tokens_once:      number & >=1 | *10000
	in_flight?:       int & >=0 & <=1000000
	// Submissions of it that may wait to be let in.
	waiting: int & >=0 & <=100000 | *100
}

#Track: {
	name: string
	repeat: *"replayable" | "referenced" | "single-use"
	// Of a referenced track: who drops repeats, and for how long.
	group:  *"all" | "zone" | "cell"
	window: duration & >0s | *5s
	// When the first token is wanted, and what 1,000 prompt tokens add to it.
	contract:     duration & >0s
	per_thousand: duration & >=0s | *40ms
	// When its client gives up.
	cut_off:  duration & >0s | *6s
	earnings: number & >0 | *1
	// The part of the earnings that a late answer still brings.
	late: number & >=0 & <=1 | *0.2
}

#Kind: {
	name: string
	role: "reader" | "writer" | "mixed"
}

// What the decisions work under, and the bounds of the process.
#Terms: {
	routers:      int & >=1 & <=65535 | *1
	places:       bool | *true
	writers_read: bool | *false
	release:      duration & >0s | *500ms
	cold_share:   number & >0 & <=1 | *0.28
	warm_after:   duration & >0s | *10s
	fall_multiple: number & >0 | *2.5
	fall_span:    duration & >0s | *2s
	most_shots:   int & >=2 & <=64 | *5
	withdrawals:  bool | *true
	probes:       bool | *true
	// Whether readers are asked how much they have before a read goes out.
	asks: bool | *false
	// Where there are tenants: how long a submission may wait to be let in.
	longest_wait: duration & >0s | *1s
	advice:       bool | *true
	longest_advice: duration & >=0s | *1s
	// Nothing new goes to a worker that drains or is gone later than this.
	drain_grace: duration & >0s | *500ms
	// A connection or probe that takes longer has failed.
	unheard: duration & >0s & <=60s | *250ms
	// What an answer needs on its way to the client.
	travel: duration & >=0s & <=10s | *10ms
	// Tokens of a stream under way before its client has taken them.
	window:        int & >=2 & <=65536 | *64
	most_open:     int & >=1 & <=1000000 | *20000
	most_a_client: int & >=1 & <=1000000 | *4000
	most_clients:  int & >=1 & <=100000 | *4000
}

// One stand-in of a worker.
#Worker: {
	name:   string
	listen: string
	list:   string
	kind:   int & >=0 & <=65535 | *0
	cell:   int & >=0 & <=65535 | *0
	zone:   int & >=0 & <=255 | *0
	warm:   bool | *false
	does:   #Able
	terms:  #Terms
	script: [...#Step] | *[]
}

// What a worker can do.
#Able: {
	role:            "reader" | "writer" | "mixed"
	size:            number & >0 | *1
	reads_at_once:   int & >=1 & <=100000 | *8
	reads_waiting:   int & >=0 & <=100000 | *40
	read_rate:       number & >0 | *20000
	streams_at_once: int & >=1 & <=100000 | *64
	streams_waiting: int & >=0 & <=100000 | *32
	token_gap:       duration & >0s | *20ms
	state_bytes_a_token: int & >=1 & <=4096 | *16
	keeps:           int & >=0 & <=100000 | *64
}

#Step: {
	at: duration & >=0s
	do: "refuse" | "fault" | "slow" | "silent" | "die" | "drain" | "corrupt"
	// How long it lasts; without it, to the end.
	for?: duration & >0s
	// How many times as long everything takes, of `slow`.
	times: number & >0 | *1
}

// The list of workers.
#List: {
	listen: string
	lag:    duration & >=0s | *200ms
	late: [...#Late] | *[]
}

#Late: {
	at:  duration & >=0s
	for: duration & >0s
	lag: duration & >=0s
}

// A relay between processes of a day, made by its player.
#Relay: {
	doors: [...#Door] | *[]
	// Doors for datagrams: what comes to one is sent on.
	datagrams: [...#Door] | *[]
	faults: [...#Fault] | *[]
	seed:   int & >=0 | *7
}

// Where it is dialled, where that leads, and which of the faults meet it, by their places.
#Door: {
	listen: string
	to:     string
	faults: [...int & >=0] | *[]
}

// From whom it works, seen from who dials: both ways, there or back.
#Fault: {
	at:  duration & >=0s
	for: duration & >0s
	way: *"both" | "there" | "back"
	how: "silent" | "reset" | "late"
	delay:  duration & >=0s | *0s
	jitter: duration & >=0s | *0s
	loss:   number & >=0 & <=0.9 | *0
}

// Clients.
#Load: {
	routers: [string, ...string]
	seed:    int & >=0 | *7
	rate:    number & >0 & <=100000 | *50
	for:     duration & >0s & <=24h | *10s
	clients: int & >=1 & <=10000 | *12
	tracks: [#Track, ...#Track]
	traffic: [#Traffic, ...#Traffic]
	retries:    int & >=0 & <=10 | *2
	retry_wait: duration & >=0s | *200ms
	// The parts of submissions whose client leaves before the end, and of clients that read slowly.
	leaves:   number & >=0 & <=1 | *0
	sluggish: int & >=0 & <=1000 | *0
	bursts: [...#Burst] | *[]
	uneven?: #Uneven
	// Clients speak for these in turn.
	keys: [...#Key] | *[]
	// Must agree with the workers'.
	state_bytes_a_token: int & >=1 & <=4096 | *16
}

// A part of the routers, drawn from the seed, gets so many times as much as each of the others.
#Uneven: {
	part:  number & >0 & <1
	times: number & >=1 & <=10000
}

#Key: {
	tenant: string
	key:    string
}

#Burst: {
	at:    duration & >=0s
	for:   duration & >0s
	times: number & >0
	// Only of this tenant.
	tenant?: string
}

#Traffic: {
	track: string
	// Whose it is, where there are tenants.
	tenant?: string
	part:  number & >0 | *1
	// Turns a session has on average, prompt tokens a turn adds, and tokens of an answer at most.
	turns:       number & >=1 | *2
	adds:        #Range | *{least: 80, most: 400}
	answer:      #Range | *{least: 20, most: 60}
	// The part of sessions that begin with one of so many shared texts, and those texts' lengths.
	shared:      number & >=0 & <=1 | *0.8
	texts:       int & >=1 & <=100000 | *20
	text_tokens: #Range | *{least: 600, most: 2000}
	// The part of the cut-off for which a client waits, at least.
	patience: number & >0 & <=1 | *0.5
}

#Range: {
	least: int & >=1 & <=1000000
	most:  int & >=1 & <=1000000
}

// A whole scripted day on real processes.
#Day: {
	note:    string | *""
	seed:    int & >=0 | *7
	routers: int & >=1 & <=1000 | *3
	// Of each router.
	cores: int & >=1 & <=64 | *1
	// Whether routers know each other, as a fleet.
	membership: bool | *false
	cells:   int & >=1 & <=1000 | *4
	zones:   int & >=1 & <=255 | *2
	kinds: [#Kind, ...#Kind]
	tenants: [...#Tenant] | *[]
	// Whether routers know the tenants; without, the day is the baseline.
	shares: bool | *true
	fleet: [#Group, ...#Group]
	tracks: [#Track, ...#Track]
	terms: #Terms
	lag:   duration & >=0s | *200ms
	load:  #DayLoad
	troubles: [...#Trouble] | *[]
	// Further ones drawn at random.
	faults?: #Drawn
	expect: #Expect
}

// So many faults drawn from a seed: cuts, delays, kills, halts and wrong clocks, each of part of the processes.
#Drawn: {
	draw:    int & >=1 & <=1000
	seed:    int & >=0 | *1
	from:    duration & >=0s | *1s
	until?:  duration & >0s
	longest: duration & >=200ms & <=10m | *3s
}

#DayLoad: {
	rate:       number & >0 & <=100000 | *50
	for:        duration & >0s & <=24h | *10s
	clients:    int & >=1 & <=10000 | *12
	traffic: [#Traffic, ...#Traffic]
	retries:    int & >=0 & <=10 | *2
	retry_wait: duration & >=0s | *200ms
	leaves:     number & >=0 & <=1 | *0
	sluggish:   int & >=0 & <=1000 | *0
	uneven?:    #Uneven
}

// So many workers of one kind, named by the group and a number, spread over the cells in turn.
#Group: {
	name:  string
	kind:  string
	count: int & >=1 & <=10000
	does:  #Able
}

#Trouble: #Kill | #Scripted | #Halt | #ListLate | #DayBurst | #Remove | #Cut | #Delay | #Clock

// Killed outright; with `back`, it starts again so long after, cold and under its old name; a router finds the
// list that it kept, unless it keeps nothing.
#Kill: {
	at: duration & >=0s
	do: "kill"
	who: [string, ...string]
	back?: duration & >0s
	keeps: bool | *true
}

// Nothing passes between two sets of processes, or only from `between` to `and` where `way` is there, and only
// back where it is back. Silent: connections stay and say nothing; reset: they break and dials are refused.
#Cut: {
	at: duration & >=0s
	do: "cut"
	between: [string, ...string]
	and: [string, ...string]
	for: duration & >0s
	way: *"both" | "there" | "back"
	how: *"silent" | "reset"
}

// What passes between two sets takes longer; of its parts so many are lost and sent again.
#Delay: {
	at: duration & >=0s
	do: "delay"
	between: [string, ...string]
	and: [string, ...string]
	for: duration & >0s
	way: *"both" | "there" | "back"
	delay:  duration & >=0s | *0s
	jitter: duration & >=0s | *0s
	loss:   number & >=0 & <=0.9 | *0
}

// A process's clock runs so many times as fast; one that starts meanwhile finds it set ahead, or back.
#Clock: {
	at: duration & >=0s
	do: "clock"
	who: [string, ...string]
	for: duration & >0s
	rate:   number & >=0.5 & <=2 | *1
	ahead:  duration & >=0s | *0s
	behind: duration & >=0s | *0s
}

#Scripted: {
	at: duration & >=0s
	do: "refuse" | "fault" | "slow" | "silent" | "drain" | "corrupt"
	who: [string, ...string]
	for?: duration & >0s
	times: number & >0 | *1
}

// Stopped and then gone on, as a machine that pauses.
#Halt: {
	at: duration & >=0s
	do: "halt"
	who: [string, ...string]
	for: duration & >0s
}

#ListLate: {
	at:  duration & >=0s
	do:  "list-late"
	for: duration & >0s
	lag: duration & >=0s
}

// Tenants removed while their submissions are under way; played in virtual time only.
#Remove: {
	at:  duration & >=0s
	do:  "remove"
	who: [string, ...string]
}

#DayBurst: {
	at:    duration & >=0s
	do:    "burst"
	for:   duration & >0s
	times: number & >0
	tenant?: string
}

// What a day must show beside the five rules.
#Expect: {
	// The part of all earnings asked for that was answered within the contract time, at least.
	service: number & >=0 & <=1 | *0
	// The part of submissions honoured in the end, at least.
	honoured: number & >=0 & <=1 | *0
	// The most memory that any process held.
	memory: size & >0B | *256MiB
}
