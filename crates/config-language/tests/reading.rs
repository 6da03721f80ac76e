//! Reads valid and invalid files and checks the typed records and the error messages.

use quickcheck::quickcheck;
use tideroute_config_language::read;

const GOOD: &str = include_str!("good.cue");

#[test]
fn valid_file_resolves_defaults_and_references() {
    let router = read("good.cue", GOOD).unwrap().router.unwrap();
    assert_eq!(router.discovery, "127.0.0.1:7000");
    assert_eq!((router.classes[0].deadline, router.classes[0].priority_weight), (5_000_000, 2.0));
    assert_eq!(
        (router.classes[1].ttft_objective, router.classes[1].idempotency.as_str()),
        (1_500_000, "single-use")
    );
    assert_eq!((router.settings.slow_start_share, router.settings.state_release_timeout), (0.3, 500_000));
    assert!(router.endpoint_cache.is_none());
}

#[test]
fn printed_file_reads_back_to_the_same_records() {
    let file = read("good.cue", GOOD).unwrap();
    let text = tideroute_config_language::print(&file).unwrap();
    let again = read("printed", &text).unwrap();
    assert_eq!(format!("{file:?}"), format!("{again:?}"));
}

/// Each entry is a text of the valid file, its replacement, and the required start of the one error line.
const BAD: [(&str, &str, &str); 22] = [
    ("listen: \"127.0.0.1:7001\"", "listen: 7001", "bad:7:10: 7001 is of type int; expected string"),
    (
        "listen: \"127.0.0.1:7001\"",
        "listen: \"here\"",
        "bad:7:10: \"here\" is not an IPv4 address with a port; expected one like",
    ),
    ("listen:", "lisen:", "bad:7:9: unknown field lisen; did you mean listen?; expected one of name, listen"),
    ("name:   \"r0\"", "", "bad:5:9: name has no value; expected string"),
    ("800ms", "0s", "bad:10:29: 0s is out of bounds; expected duration & >0s"),
    ("800ms", "800", "bad:10:29: 800 is of type int; expected duration & >0s"),
    ("800ms", "800mss", "bad:10:29: unknown unit mss; expected us, ms, s"),
    ("800ms", "90s", "bad:3:17: "),
    (
        "\"single-use\"",
        "\"once\"",
        "bad:11:43: \"once\" does not fit; expected \"replayable\" or \"referenced\"",
    ),
    ("role: \"reader\"", "role: \"readr\"", "bad:13:34: \"readr\" does not fit; expected \"reader\" or"),
    ("list:   _list", "list: _lst", "bad:8:8: _lst is not defined; expected a field or a definition"),
    ("_list: \"127.0.0.1:7000\"", "_list: _list", "bad:3:8: _list refers to itself"),
    ("routers: 3", "routers: 3, routers: 4", "bad:14:31: 4 does not fit; expected 3"),
    ("routers: 3", "routers: 3.5", "bad:14:19: 3.5 is of type number; expected int & >=1"),
    ("routers: 3", "routers: -3", "bad:14:19: -3 is out of bounds; expected int & >=1"),
    ("cold_share: 30%", "cold_share: 130%", "bad:14:34: 1.3 is out of bounds; expected number & >0 & <=1"),
    ("kinds: [{", "kinds: {", "bad:13:"),
    ("\"lodge\"", "\"quick\"", "bad:11:10: \"quick\" is named twice"),
    ("router: {", "rooter: {", "bad:5:9: unknown field rooter; did you mean router?"),
    ("\"readers\"", "\"readers", "bad:13:75: the text is not closed"),
    ("30%}", "30%", "bad:16:1: unexpected end of file; expected"),
    ("{routers: 3", "{routers: $3", "bad:14:19: unexpected character '$'"),
];

#[test]
fn each_invalid_file_has_one_error_with_position_and_expectation() {
    let mut mismatches = vec![];
    for (from, to, beginning) in BAD {
        assert!(GOOD.contains(from), "{from}");
        let text = GOOD.replacen(from, to, 1);
        let errors = read("bad", &text).expect_err(&format!("{to} was accepted"));
        let lines = errors.lines();
        if beginning == "bad:3:17: " {
            // `cut_off` comes from `_fast` in line 3, and contradicts the contract time in line 10.
            assert!(lines[0].contains("cut_off of track \"quick\" is before its contract time"), "{lines:?}");
            continue;
        }
        if lines.len() != 1 || !lines[0].starts_with(beginning) {
            mismatches.push(format!("{to}: {lines:?}, not {beginning}"));
        }
        assert!(errors.report().contains(&lines[0][..20]));
    }
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = GOOD.replace("800ms", "800").replace("routers: 3", "routers: 0").replace("name:   ", "nam: ");
    let errors = read("bad", &text).unwrap_err();
    assert!(errors.lines().len() >= 3, "{errors}");
}

#[test]
fn exponential_references_and_deep_nesting_are_rejected() {
    let mut text = String::from("_a0: {x: 1, y: 2}\n");
    for n in 1..40 {
        text += &format!("_a{n}: {{p: _a{0}, q: _a{0}}}\n", n - 1);
    }
    let errors = read("bad", &text).unwrap_err();
    assert!(errors.lines()[0].contains("too many times"), "{errors}");
    let deep = format!("router: {}", "[".repeat(100_000));
    assert!(read("bad", &deep).unwrap_err().lines()[0].contains("too deep"));
}

quickcheck! {
    fn mutated_text_never_panics(mutations: Vec<(u16, u8)>) -> bool {
        let mut text: Vec<u8> = GOOD.bytes().collect();
        for (at, byte) in mutations {
            let at = usize::from(at) % text.len();
            if byte % 3 == 0 { text.remove(at); } else { text[at] = byte % 128; }
        }
        let _ = read("bad", &String::from_utf8_lossy(&text)).map_err(|errors| errors.report());
        true
    }
}
