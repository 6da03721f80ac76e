//! The JSON of `fleet status`, whose keys and status names are read by scripts.

use super::*;

#[test]
fn the_json_of_a_status_keeps_its_keys_and_status_names() {
    let member = |status: MemberStatus| ShownMember {
        address: "127.0.0.1:7000".into(),
        status: status.into(),
        incarnation: 5,
        at: [127, 0, 0, 1, 27, 88],
    };
    let statuses = [MemberStatus::Alive, MemberStatus::Suspected, MemberStatus::Dead, MemberStatus::Left];
    let seen = ["a", "b", "c", "d"].map(String::from).into_iter().zip(statuses.map(member)).collect();
    let status = Status {
        fleet: "harbour".into(),
        router: "a".into(),
        health: 1,
        alone: false,
        seen,
        agree: vec!["b".into()],
        differ: BTreeMap::from([("c".into(), vec!["lacks a".into()])]),
        silent: vec!["d".into()],
    };
    let shown =
        |status: &str| format!(r#"{{"address":"127.0.0.1:7000","standing":"{status}","incarnation":5}}"#);
    let [alive, suspected, dead, left] = ["there", "suspected", "dead", "left"].map(shown);
    let expected = format!(
        r#"{{"fleet":"harbour","router":"a","health":1,"alone":false,"seen":{{"a":{alive},"b":{suspected},"c":{dead},"d":{left}}},"agree":["b"],"differ":{{"c":["lacks a"]}},"silent":["d"]}}"#
    );
    assert_eq!(serde_json::to_string(&status).expect("a status is valid JSON"), expected);
}
