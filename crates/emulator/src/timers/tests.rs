use super::*;

#[test]
fn keys_are_decoded_as_they_were_encoded() {
    let keys = [
        TimerKey::ScriptStep(3),
        TimerKey::ReconnectDiscovery,
        TimerKey::Prefill(1),
        TimerKey::Token(NUMBER_MASK),
        TimerKey::EarlyFetch(7),
    ];
    for key in keys {
        assert_eq!(TimerKey::decode(key.encode()), Some(key));
    }
}

#[test]
fn key_of_unknown_kind_is_not_decoded() {
    assert_eq!(TimerKey::decode(5 << KIND_SHIFT), None);
}
