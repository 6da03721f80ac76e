// The parts of a configuration file. A file has one or more of them; each command uses its own part.
#File: {
	router?: #Router
	worker?: #Worker
	list?:   #List
	relay?:  #Relay
	load?:   #Load
	day?:    #Day
}

// Configuration of one router process.
#Router: {
	name:   string
	listen: string
	list:   string
	// The address on which it serves metrics for Prometheus.
	metrics?: string
	// The file in which it caches the endpoint list, which a restart uses.
	keep?: string
	seed?: int & >=0
	// Threads that each run a router of their own behind the same address.
	cores: int & >=1 & <=64 | *1
	tracks: [#Track, ...#Track]
	kinds: [#Kind, ...#Kind]
	terms: #Terms
	// Tenants; if there are none, clients need no key and no shares are enforced.
	tenants: [...#Tenant] | *[]
	// The administration API; tenants are then kept in its store.
	admin?: #Admin
	// Membership of a cluster of routers; without it, the router runs alone.
	fleet?: #Fleet
}

// Membership of a cluster: routers with the same name and key, which exchange gossip by datagrams.
#Fleet: {
	name:   string
	// The address on which it receives gossip, as other members reach it.
	listen: string
	// Addresses of some members. The router's own address may be among them, so that all routers can have the same list.
	seeds: [string, ...string]
	// The key of message authentication, the same for all members, as 64 hexadecimal digits.
	key: string
}

// The administration API: its address, the file of its tenant store, and the keys that permit its use.
#Admin: {
	listen: string
	store:  string
	keys: [#AdminKey, ...#AdminKey]
}

#AdminKey: {
	name: string
	// The BLAKE3 of the key, as 64 hexadecimal digits.
	key:  string
	// view: reading; operate: also changes to tenants; own: also snapshots.
	role: "view" | "operate" | "own"
}

// A tenant. Limits apply to all routers together; each router enforces its share.
#Tenant: {
	name: string
	// The BLAKE3 of its key, as 64 hexadecimal digits; a scenario generates the keys itself.
	key: string | *""
	// Weight in fair queueing against other tenants with waiting requests; with 0, it gets only what they leave unused.
	weight: number & >=0 & <=1000000 | *1
	// Rate limits of requests and prompt tokens per second, each with its burst; without a rate, there is no limit.
	submissions?:     number & >=0
	submissions_once: number & >=1 | *10
	tokens?:          number & >=0
	tokens_once:      number & >=1 | *10000
	in_flight?:       int & >=0 & <=1000000
	// Maximum number of its requests that wait for admission.
	waiting: int & >=0 & <=100000 | *100
}

#Track: {
	name: string
	repeat: *"replayable" | "referenced" | "single-use"
	// Deduplication scope and window, for referenced tracks.
	group:  *"all" | "zone" | "cell"
	window: duration & >0s | *5s
	// Latency objective (time to first token), and what 1,000 prompt tokens add to it.
	contract:     duration & >0s
	per_thousand: duration & >=0s | *40ms
	// Deadline, after which the client gives up.
	cut_off:  duration & >0s | *6s
	earnings: number & >0 | *1
	// Share of the priority weight (earnings) that a response after its latency objective still counts.
	late: number & >=0 & <=1 | *0.2
}

#Kind: {
	name: string
	role: "reader" | "writer" | "mixed"
}

// Settings of the scheduler, and limits of the process.
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
	// Whether routers request a load report from prefill workers before they dispatch a prefill.
	asks: bool | *false
	// If there are tenants: longest time for which a request waits for admission.
	longest_wait: duration & >0s | *1s
	advice:       bool | *true
	longest_advice: duration & >=0s | *1s
	// Time after a worker drains or is removed in which it may still get new requests.
	drain_grace: duration & >0s | *500ms
	// Timeout of connection attempts and health checks.
	unheard: duration & >0s & <=60s | *250ms
	// Time that a response needs on its way to the client.
	travel: duration & >=0s & <=10s | *10ms
	// Tokens of a stream that may be in flight before the client acknowledges them.
	window:        int & >=2 & <=65536 | *64
	most_open:     int & >=1 & <=1000000 | *20000
	most_a_client: int & >=1 & <=1000000 | *4000
	most_clients:  int & >=1 & <=100000 | *4000
}

// Configuration of one emulated worker.
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

// Role and capacity of a worker.
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
	// Duration; without it, the fault lasts to the end.
	for?: duration & >0s
	// For `slow`: the factor by which processing times grow.
	times: number & >0 | *1
}

// Emulated discovery, which sends the endpoint list.
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

// A relay between processes of a scenario; the scenario player generates its configuration.
#Relay: {
	doors: [...#Door] | *[]
	// Listeners for datagrams, which are forwarded like connections.
	datagrams: [...#Door] | *[]
	faults: [...#Fault] | *[]
	seed:   int & >=0 | *7
}

// A listener: its address, the address to which it forwards, and the indices of the relay's faults that affect it.
#Door: {
	listen: string
	to:     string
	faults: [...int & >=0] | *[]
}

// A network fault. `way` is the affected direction, seen from the side that connects.
#Fault: {
	at:  duration & >=0s
	for: duration & >0s
	way: *"both" | "there" | "back"
	how: "silent" | "reset" | "late"
	delay:  duration & >=0s | *0s
	jitter: duration & >=0s | *0s
	loss:   number & >=0 & <=0.9 | *0
}

// Configuration of the client load.
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
	// Share of requests that the client leaves before the response has ended, and number of clients that read slowly.
	leaves:   number & >=0 & <=1 | *0
	sluggish: int & >=0 & <=1000 | *0
	bursts: [...#Burst] | *[]
	uneven?: #Uneven
	// Keys of tenants, assigned to the clients in turn.
	keys: [...#Key] | *[]
	// Must equal the workers' value.
	state_bytes_a_token: int & >=1 & <=4096 | *16
}

// Skewed load: a share of the routers, chosen by the seed, each gets `times` the load of each other router.
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
	// The tenant whose load is changed; without it, the whole load.
	tenant?: string
}

#Traffic: {
	track: string
	// Required if there are tenants.
	tenant?: string
	part:  number & >0 | *1
	// Average number of turns in a session, prompt tokens that a turn adds, and maximum tokens of a response.
	turns:       number & >=1 | *2
	adds:        #Range | *{least: 80, most: 400}
	answer:      #Range | *{least: 20, most: 60}
	// Share of sessions that begin with a shared prefix, number of shared prefixes, and their lengths in tokens.
	shared:      number & >=0 & <=1 | *0.8
	texts:       int & >=1 & <=100000 | *20
	text_tokens: #Range | *{least: 600, most: 2000}
	// Smallest share of the deadline after which a client gives up; the share is random between this and 1.
	patience: number & >0 & <=1 | *0.5
}

#Range: {
	least: int & >=1 & <=1000000
	most:  int & >=1 & <=1000000
}

// A scenario: scripted load and faults on a whole deployment.
#Day: {
	note:    string | *""
	seed:    int & >=0 | *7
	routers: int & >=1 & <=1000 | *3
	// Threads of each router.
	cores: int & >=1 & <=64 | *1
	// Whether the routers form a cluster by the membership protocol.
	membership: bool | *false
	cells:   int & >=1 & <=1000 | *4
	zones:   int & >=1 & <=255 | *2
	kinds: [#Kind, ...#Kind]
	tenants: [...#Tenant] | *[]
	// Whether routers know the tenants; a run without serves as the baseline.
	shares: bool | *true
	fleet: [#Group, ...#Group]
	tracks: [#Track, ...#Track]
	terms: #Terms
	lag:   duration & >=0s | *200ms
	load:  #DayLoad
	troubles: [...#Trouble] | *[]
	// Additional faults that are generated from a seed.
	faults?: #Drawn
	expect: #Expect
}

// Random faults, generated from a seed: cuts, delays, kills, halts and wrong clocks, each of some of the processes.
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

// A group of identical workers, each named by the group and a number, assigned to the cells in turn.
#Group: {
	name:  string
	kind:  string
	count: int & >=1 & <=10000
	does:  #Able
}

#Trouble: #Kill | #Scripted | #Halt | #ListLate | #DayBurst | #Remove | #Cut | #Delay | #Clock

// Kills processes. With `back`, each restarts after that time under its old name; a worker is then not warm. A router finds its
// cached endpoint list after the restart, unless `keeps` is false.
#Kill: {
	at: duration & >=0s
	do: "kill"
	who: [string, ...string]
	back?: duration & >0s
	keeps: bool | *true
}

// Blocks traffic between two sets of processes. `way` is the blocked direction: `there` is from `between` to `and`, `back`
// the reverse. With `silent`, connections stay open but nothing passes; with `reset`, open connections are reset and new
// ones refused.
#Cut: {
	at: duration & >=0s
	do: "cut"
	between: [string, ...string]
	and: [string, ...string]
	for: duration & >0s
	way: *"both" | "there" | "back"
	how: *"silent" | "reset"
}

// Adds latency between two sets of processes; `loss` is the share of packets that are lost and sent again.
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

// Runs the clocks of processes at `rate` times real time. A process that starts meanwhile has its clock set ahead or back.
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

// Stops processes and continues them afterwards, like a machine that pauses.
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

// Removes tenants while their requests are in progress; available in virtual time only.
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

// Results that a run must reach, in addition to the five invariants.
#Expect: {
	// Minimum share of all priority weight (earnings) that is served within the latency objective.
	service: number & >=0 & <=1 | *0
	// Minimum share of requests that are completed.
	honoured: number & >=0 & <=1 | *0
	// Maximum memory that any process may use.
	memory: size & >0B | *256MiB
}
