//! What other customers' settings ask for, one cause at a time, on bytes in virtual time: each was found by drawn
//! customers (`customers.rs`) and fails on the code that broke there.

mod common;

use common::*;
use serde_json::{json, Value};
use tideroute_wire::event_loop::{ConnectionId, EventHandler};

const RELEASE: &str = "DELETE /internal/reservations/id ";
const PLACE: &str = "POST /internal/reservations/id ";
const FREED: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// A configuration in which both readers and writers do all.
fn mixed() -> Value {
    let mut file = file();
    file["settings"]["family_info"]["kind_role"] = json!(["both", "both"]);
    file
}

/// A configuration in which writers alone read, three of them in three cells, and one class is keyed within its cell.
fn writers_read() -> Value {
    let mut file = file();
    let settings = &mut file["settings"];
    settings["family_info"]["kind_role"] = json!(["write", "write"]);
    settings["family_info"]["writers_read"] = json!(true);
    settings["family_info"]["ahead"] = json!(false);
    settings["classes"][2]["dedup_scope"] = json!("cell");
    for (cell, server) in file["known"]["servers"].as_array_mut().expect("a list").iter_mut().enumerate() {
        server["cell"] = json!(cell);
    }
    file
}

/// The milliseconds that an attempt tells its worker.
fn told(stage: &Stage, attempt: ConnectionId) -> u64 {
    let text = stage.text(attempt);
    let told = text.split("x-expires-in-ms: ").nth(1).and_then(|t| t.split("\r\n").next());
    told.and_then(|t| t.parse().ok()).expect("a deadline")
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell_where_writers_read() {
    let mut stage = Stage::with(&writers_read());
    let client = stage.come();
    stage.say(client, ask("id", "keyed"));
    let (first, _) = stage.attempt();
    stage.lose(first);
    stage.pass(1_500 * MS);
    assert!(stage.attempts().is_empty(), "no other worker knows a repeat");
    assert_eq!(stage.statuses(client), [502], "answered, and not with a refusal");
    // What may run anywhere goes on elsewhere.
    let other = stage.come();
    stage.say(other, ask("other", "safe"));
    let (attempt, _) = stage.attempt();
    stage.lose(attempt);
    assert_eq!(stage.attempts().len(), 1);
}

#[test]
fn what_an_attempt_that_read_by_itself_left_is_released() {
    let mut stage = Stage::with(&mixed());
    let client = stage.come();
    stage.say(client, ask("id", "once"));
    let (attempt, worker) = stage.attempt();
    stage.pass(400 * MS);
    stage.lose(attempt);
    let (_, told) = stage.call(RELEASE);
    assert_eq!(told, worker, "where it may be held");
}

#[test]
fn a_state_with_which_an_attempt_waits_is_released_again_and_again() {
    let mut stage = Stage::without_places();
    let client = stage.come();
    stage.say(client, ask("id", "once"));
    let (reader, _) = stage.attempt();
    stage.say(reader, READ);
    stage.attempt();
    // Guards against a writer that vanishes after the first release, which freed nothing that was waited with.
    for round in 0..4 {
        stage.pass(810 * MS);
        let release = stage.calls(RELEASE).first().copied();
        let (release, _) = release.unwrap_or_else(|| panic!("no release in round {round}"));
        stage.say(release, FREED);
    }
}

#[test]
fn a_place_that_a_worker_grants_long_after_it_was_asked_is_released() {
    let mut stage = Stage::new();
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    stage.attempt();
    let (place, _) = stage.call(PLACE);
    stage.lose(client);
    let (release, _) = stage.call(RELEASE);
    stage.say(release, FREED);
    // As by a worker that hangs for so long.
    stage.pass(3_000 * MS);
    stage.calls(RELEASE).into_iter().for_each(|(connection, _)| stage.say(connection, FREED));
    assert!(!stage.ended.contains_key(&place), "its answer is waited for");
    stage.say(place, plain(200, "", ""));
    stage.call(RELEASE);
}

#[test]
fn places_that_are_asked_for_in_vain_leave_connections_for_others() {
    let mut stage = Stage::new();
    for n in 0..100 {
        let client = stage.come();
        stage.say(client, ask(&format!("id{n}"), "safe"));
        for (attempt, _) in stage.attempts() {
            stage.say(attempt, READ);
        }
        for (attempt, _) in stage.attempts() {
            stage.say(attempt, stream());
        }
        stage.pass(1_010 * MS);
        for (connection, _) in stage.calls("DELETE") {
            stage.say(connection, FREED);
        }
    }
    let waiting = |connection: &ConnectionId| {
        !stage.ended.contains_key(connection)
            && stage.text(*connection).contains("POST /internal/reservations/")
    };
    let waiting = stage.dialled.keys().filter(|connection| waiting(connection)).count();
    assert!(waiting <= 30, "{waiting} connections");
}

#[test]
fn an_attempt_whose_last_byte_does_not_leave_in_time_is_none() {
    let mut file = file();
    file["settings"]["family_info"]["ahead"] = json!(false);
    file["settings"]["caps"]["dial_timeout_ms"] = json!(100.0);
    let mut stage = Stage::with(&file);
    let client = stage.come();
    stage.say(client, ask("id", "keyed"));
    let (reader, _) = stage.attempt();
    stage.say(reader, READ);
    let (first, _) = stage.attempt();
    stage.eager = false;
    stage.say(first, plain(500, "", ""));
    // A repeat that waits in a full socket would come after its window.
    let (second, _) = stage.attempt();
    stage.opens(second);
    assert!(stage.text(second).contains("x-trace-id: id"));
    stage.pass(99 * MS);
    assert!(!stage.ended.contains_key(&second));
    stage.pass(2 * MS);
    assert!(stage.ended.contains_key(&second), "it has not left whole");
    assert_eq!(stage.attempts().len(), 1, "and so another may follow");
}

#[test]
fn no_attempt_begins_for_a_client_that_has_gone_where_nothing_may_be_called_back() {
    let mut file = file();
    file["settings"]["caps"]["cancel"] = json!(false);
    let mut stage = Stage::with(&file);
    stage.eager = false;
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (dialled, _) = stage.attempt();
    stage.lose(client);
    assert!(stage.ended.contains_key(&dialled), "it has not left, so nothing is called back");
    // What has left runs on, until its client would have waited no longer.
    let client = stage.come();
    stage.say(client, ask_for("id", "safe", 2_000, "{}"));
    let (reader, _) = stage.attempt();
    stage.written(reader);
    stage.lose(client);
    stage.pass(1_000 * MS);
    assert!(!stage.ended.contains_key(&reader));
    stage.pass(1_000 * MS);
    assert!(stage.ended.contains_key(&reader));
    stage.stop();
    stage.pass(25_000 * MS);
    assert!(stage.program.is_finished(), "nothing is left of it");
}

#[test]
fn a_stream_that_begins_for_a_client_that_has_gone_is_ended() {
    let mut file = file();
    file["settings"]["caps"]["cancel"] = json!(false);
    let mut stage = Stage::with(&file);
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (reader, _) = stage.attempt();
    stage.say(reader, READ);
    let (writer, _) = stage.attempt();
    stage.lose(client);
    assert!(!stage.ended.contains_key(&writer));
    stage.say(writer, format!("{HEAD}{}", chunk(EVENTS[0])));
    assert!(stage.ended.contains_key(&writer));
}

#[test]
fn a_worker_is_told_what_is_left_when_the_attempt_leaves() {
    let mut file = file();
    file["settings"]["caps"]["dial_timeout_ms"] = json!(1_000.0);
    let mut stage = Stage::with(&file);
    stage.eager = false;
    let client = stage.come();
    stage.say(client, ask_for("id", "safe", 2_000, "{}"));
    let (reader, _) = stage.attempt();
    stage.pass(800 * MS);
    stage.opens(reader);
    let told = told(&stage, reader);
    assert!((1_100..=1_200).contains(&told), "{told}");
}

#[test]
fn no_place_is_asked_for_at_a_worker_that_drains_since_the_read_was_dialled() {
    let mut stage = Stage::new();
    stage.eager = false;
    let client = stage.come();
    stage.say(client, ask("id", "safe"));
    let (reader, at) = stage.attempt();
    let cell = WORKERS[at].2;
    let writers = (0..WORKERS.len()).filter(|w| WORKERS[*w].1 == "writing" && WORKERS[*w].2 == cell);
    let drains: Vec<_> = writers.map(|w| entry(w, "DRAINING", 0)).collect();
    stage.discover(&json!({"version": 5, "full": false, "servers": drains}));
    stage.pass(240 * MS);
    stage.written(reader);
    assert!(stage.calls(PLACE).is_empty());
}

#[test]
fn settings_that_leave_no_room_are_told_and_kept_by_not_doing_it() {
    let mut file = file();
    assert!(tideroute_gateway::Config::parse(file.to_string().as_bytes())
        .expect("sound")
        .infeasible_settings()
        .is_empty());
    file["settings"]["family_info"]["pin_limit_ms"] = json!(200.0);
    file["settings"]["classes"][2]["key_ttl_ms"] = json!(250.0);
    let found =
        tideroute_gateway::Config::parse(file.to_string().as_bytes()).expect("sound").infeasible_settings();
    assert!(found.len() == 2 && found[0].contains("pin_limit_ms, 200 ms"), "{found:?}");
    assert!(found[1].contains("key_ttl_ms of class keyed"), "{found:?}");
    // A repeat might come when nobody remembers the first.
    let mut stage = Stage::with(&file);
    let client = stage.come();
    stage.say(client, ask("id", "keyed"));
    let (reader, _) = stage.attempt();
    stage.say(reader, READ);
    let (writer, _) = stage.attempt();
    stage.lose(writer);
    stage.pass(300 * MS);
    assert!(stage.attempts().is_empty());
}
