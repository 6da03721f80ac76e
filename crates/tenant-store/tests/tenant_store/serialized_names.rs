//! The names in the JSON of tenants, on which the administration API and the stored data depend.

use tideroute_tenant_store::{Key, Rate, Revision, Tenant};

#[test]
fn a_revision_keeps_its_serialized_names() {
    let tenant = Tenant {
        weight: 2.0,
        requests: Some(Rate { per_second: 10.0, burst: 5.0 }),
        tokens: None,
        in_flight: Some(3),
        waiting: 9,
        keys: vec![Key { name: "first".into(), hash: "ab".into() }],
    };
    let revision = Revision {
        name: "harbour".into(),
        version: 7,
        changed_at: 11,
        changed_by: "ann".into(),
        tenant: Some(tenant),
    };
    let json = concat!(
        r#"{"name":"harbour","version":7,"at":11,"by":"ann","tenant":{"weight":2.0,"#,
        r#""submissions":{"a_second":10.0,"once":5.0},"tokens":null,"in_flight":3,"waiting":9,"#,
        r#""keys":[{"name":"first","hash":"ab"}]}}"#
    );
    assert_eq!(serde_json::to_string(&revision).expect("plain data"), json);
    assert_eq!(serde_json::from_str::<Revision>(json).expect("the same JSON"), revision);
}
