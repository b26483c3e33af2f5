//! Guards against a configuration that is taken over without what its sender's build does not know.

use cactusglade_core::catalog::Draft;
use cactusglade_core::catalog::Service;
use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;
use cactusglade_wire::configuration;
use cactusglade_wire::configuration::Error;
use serde_json::Value;
use serde_json::json;

fn encoded() -> Value {
    let service = Service {
        name: "app".to_owned(),
        tokens_per_event: 1,
        scale: None,
        cold_rate: Some(Rate(6_900)),
        cold_time: Millis(3_000),
    };
    let draft = Draft {
        version: 7,
        services: vec![service],
        ..Draft::default()
    };
    serde_json::to_value(&draft).expect("a configuration has a JSON form")
}

fn decode(value: &Value) -> configuration::Result<Draft> {
    configuration::decode(value.to_string().as_bytes())
}

#[test]
fn a_configuration_without_a_known_field_is_refused() {
    let mut value = encoded();
    assert_eq!(decode(&value).expect("it is whole").version, 7);
    value["services"][0]["later"] = json!(1);
    assert_eq!(decode(&value).expect("it has more").version, 7);
    let service = value["services"][0].as_object_mut();
    service.expect("it is an object").remove("cold_rate");
    let refused = decode(&value).expect_err("it lacks a field");
    assert!(matches!(refused, Error::Partial(name) if name == "cold_rate"));
    let refused = configuration::decode(b"[").expect_err("it is cut off");
    assert!(matches!(refused, Error::Malformed(_)));
}
