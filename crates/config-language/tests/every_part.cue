// Every part of a file, with every field, for the test of the keys.
_key: "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
_terms: {
	routers: 3, places: false, writers_read: true, release: 400ms, cold_share: 30%, warm_after: 9s, fall_multiple: 2.25
	fall_span: 1500ms, most_shots: 4, withdrawals: false, probes: false, asks: true, longest_wait: 900ms, advice: false
	longest_advice: 800ms, drain_grace: 450ms, unheard: 225ms, travel: 9ms, window: 32, most_open: 1000
	most_a_client: 100, most_clients: 50
}
_tracks: [
	{name: "quick", repeat: "referenced", group: "zone", window: 4s, contract: 800ms, per_thousand: 30ms, cut_off: 5s
		earnings: 2.5, late: 0.1},
	{name: "lodge", contract: 1.5s, repeat: "single-use"},
]
_tenants: [{name: "a", key: _key, weight: 2, submissions: 7.5, submissions_once: 12, tokens: 2000, tokens_once: 9000
	in_flight: 30, waiting: 40}, {name: "b"}]
_kinds: [{name: "readers", role: "reader"}, {name: "writers", role: "writer"}, {name: "both", role: "mixed"}]
_able: {role: "reader", size: 1.5, reads_at_once: 4, reads_waiting: 20, read_rate: 15000, streams_at_once: 32
	streams_waiting: 16, token_gap: 15ms, state_bytes_a_token: 8, keeps: 12}
_traffic: [{track: "quick", tenant: "a", part: 2, turns: 3, adds: {least: 10, most: 20}, answer: {least: 5, most: 6}
	shared: 0.5, texts: 7, text_tokens: {least: 100, most: 200}, patience: 0.75}]
_uneven: {part: 0.25, times: 8}

router: {
	name: "r0", listen: "127.0.0.1:7001", list: "127.0.0.1:7000", metrics: "127.0.0.1:7002", keep: "kept", seed: 3, cores: 2
	tracks: _tracks, kinds: _kinds, terms: _terms
	admin: {listen: "127.0.0.1:7003", store: "store", keys: [{name: "k", key: _key, role: "operate"}]}
	fleet: {name: "f", listen: "127.0.0.1:7004", seeds: ["127.0.0.1:7005"], key: _key}
}
worker: {
	name: "w0", listen: "127.0.0.1:7100", list: "127.0.0.1:7000", kind: 1, cell: 2, zone: 1, warm: true, does: _able
	terms: _terms, script: [{at: 1s, do: "slow", for: 2s, times: 3}, {at: 2s, do: "die"}]
}
list: {listen: "127.0.0.1:7000", lag: 100ms, late: [{at: 1s, for: 2s, lag: 3s}]}
relay: {
	doors: [{listen: "127.0.0.1:7200", to: "127.0.0.1:7001", faults: [0]}]
	datagrams: [{listen: "127.0.0.1:7201", to: "127.0.0.1:7004", faults: []}]
	faults: [{at: 1s, for: 2s, way: "there", how: "late", delay: 10ms, jitter: 5ms, loss: 0.25}], seed: 11
}
load: {
	routers: ["127.0.0.1:7001"], seed: 5, rate: 20.5, for: 3s, clients: 4, tracks: _tracks, traffic: _traffic, retries: 1
	retry_wait: 150ms, leaves: 0.125, sluggish: 1, bursts: [{at: 1s, for: 500ms, times: 4, tenant: "a"}], uneven: _uneven
	keys: [{tenant: "a", key: _key}], state_bytes_a_token: 8
}
day: {
	note: "all", seed: 9, routers: 12, cores: 2, membership: true, cells: 3, zones: 2, kinds: _kinds, tenants: _tenants
	shares: false, fleet: [{name: "readers", kind: "readers", count: 3, does: _able}], tracks: _tracks, terms: _terms
	lag: 150ms
	load: {rate: 30, for: 60s, clients: 6, traffic: _traffic, retries: 3, retry_wait: 100ms, leaves: 0.25, sluggish: 2
		uneven: _uneven}
	troubles: [
		{at: 1s, do: "kill", who: ["router0-1"], back: 2s, keeps: false},
		{at: 2s, do: "cut", between: ["router"], and: ["list"], for: 1s, way: "back", how: "reset"},
		{at: 3s, do: "delay", between: ["router"], and: ["readers"], for: 1s, delay: 20ms, jitter: 10ms, loss: 0.5},
		{at: 4s, do: "clock", who: ["router2"], for: 1s, rate: 1.5, ahead: 2s, behind: 3s},
		{at: 5s, do: "slow", who: ["readers0"], for: 2s, times: 4},
		{at: 6s, do: "halt", who: ["router3"], for: 1s},
		{at: 7s, do: "list-late", for: 1s, lag: 2s},
		{at: 8s, do: "burst", for: 1s, times: 3, tenant: "b"},
		{at: 9s, do: "remove", who: ["b"]},
	]
	faults: {draw: 5, seed: 2, from: 2s, until: 50s, longest: 4s}
	expect: {service: 0.5, honoured: 0.75, memory: 128MiB}
}
