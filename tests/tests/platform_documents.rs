//! Parsing of published documents: an invalid entry yields no target and does not affect others.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bambooseam_platform::document::Config;
use bambooseam_platform::{Document, DocumentError, DocumentKind};
use bambooseam_steer::{LOWEST_PRIORITY, Target};
use bambooseam_tests::inputs::{for_each_bytes, for_each_input};
use bolero::generator::{ValueGenerator, produce};
use serde_json::{Value, json};

fn entry() -> Value {
    json!({
        "service": "huvo11a", "address": "10.128.0.9:8080", "zone": "pnw-a",
        "config_version": "v1", "capacity": 2, "state": "ready", "warmup_left_ms": 0,
        "sequence": 4, "born": 1_790_000_000_123_u64,
    })
}

fn config() -> Value {
    json!({
        "config_version": 7,
        "routes": [
            {"name": "r-1", "host": "198.18.0.1", "prefix": "/8443/", "route_type": "safe",
             "timeout_ms": 1500, "priority": 2, "latency_goal_ms": 300, "max_attempts": 2,
             "traffic_split": [{"service": "huvo11a", "weight": 90},
                               {"service": "wuno96b", "weight": 10}]},
            {"name": "r-2", "host": "198.18.0.2", "prefix": "/80/", "route_type": "download",
             "timeout_ms": 5000, "service": "wuno96b"},
        ],
        "services": [{"name": "huvo11a"}, {"name": "wuno96b"}],
        "limits": {"idle_timeout_ms": 15000},
    })
}

fn parse_target(entry: &Value) -> Result<Target, DocumentError> {
    let kind = DocumentKind::from_key("servers/i-7f3a91c2").expect("a key");
    match kind.parse(entry.to_string().as_bytes())? {
        Document::Target(target) => Ok(target),
        other => panic!("a target entry was parsed as {other:?}"),
    }
}

fn parse_config(config: &Value) -> Result<Config, DocumentError> {
    match DocumentKind::Config.parse(config.to_string().as_bytes())? {
        Document::Config(config) => Ok(config),
        other => panic!("a configuration was parsed as {other:?}"),
    }
}

#[test]
fn target_is_parsed() {
    let target = parse_target(&entry()).expect("a target");
    assert_eq!(target.id.as_str(), "i-7f3a91c2");
    assert_eq!(target.label.get(), 0x7f3a_91c2);
    assert_eq!(target.start.get(), 1_790_000_000_123);
    assert_eq!(
        target.address,
        SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, 9), 8080)
    );
    assert_eq!((target.capacity, target.is_leaving), (2, false));
    let mut draining = entry();
    draining["state"] = json!("draining");
    draining["warmup_left_ms"] = json!(1_250);
    let target = parse_target(&draining).expect("a target");
    assert!(target.is_leaving);
    assert_eq!(target.cold_time, Duration::from_millis(1_250));
}

#[test]
fn entry_without_a_start_is_parsed() {
    let mut old = entry();
    old.as_object_mut().expect("an object").remove("born");
    assert_eq!(parse_target(&old).expect("a target").start.get(), 0);
}

#[test]
fn unknown_fields_are_ignored() {
    let mut newer = entry();
    newer["colour"] = json!({"deep": [1, 2]});
    assert!(parse_target(&newer).is_ok());
}

#[test]
fn entry_with_a_missing_field_is_refused() {
    let fields = [
        "service",
        "address",
        "zone",
        "config_version",
        "capacity",
        "state",
        "warmup_left_ms",
        "sequence",
    ];
    for field in fields {
        let mut invalid = entry();
        invalid.as_object_mut().expect("an object").remove(field);
        let error = parse_target(&invalid).expect_err(field).to_string();
        assert!(
            error.contains(field) && error.contains("missing"),
            "{error}"
        );
    }
}

#[test]
fn entry_with_an_invalid_field_is_refused() {
    let invalid = [
        ("service", json!(7)),
        ("service", json!("")),
        ("address", json!("10.0.0.1")),
        ("address", json!("10.0.0.1:0")),
        ("address", json!("0.0.0.0:80")),
        ("address", json!("224.0.0.1:80")),
        ("address", json!("255.255.255.255:80")),
        ("address", json!(null)),
        ("zone", json!(["a"])),
        ("capacity", json!("2")),
        ("capacity", json!(0)),
        ("capacity", json!(-1)),
        ("capacity", json!(2.5)),
        ("state", json!("resting")),
        ("state", json!(1)),
        ("warmup_left_ms", json!("soon")),
        ("sequence", json!(null)),
        ("born", json!("1790000000123")),
        ("born", json!(1.5)),
        ("born", json!(-4)),
    ];
    for (field, value) in invalid {
        let mut entry = entry();
        entry[field] = value.clone();
        assert!(parse_target(&entry).is_err(), "{field}: {value}");
    }
}

#[test]
fn bytes_that_are_no_object_are_refused() {
    let kind = DocumentKind::from_key("servers/i-1").expect("a key");
    for bytes in [&b""[..], b"\xff\xfe", b"[]", b"7", b"{", b"null"] {
        assert_eq!(kind.parse(bytes), Err(DocumentError::NotJson));
    }
}

#[test]
fn invalid_identifiers_are_refused() {
    for key in [
        "servers/i-",
        "servers/i-xyz",
        "servers/i-0",
        "servers/i-11112222333344445",
    ] {
        let parsed =
            DocumentKind::from_key(key).and_then(|kind| kind.parse(entry().to_string().as_bytes()));
        assert!(parsed.is_err(), "{key}");
    }
}

#[test]
fn unrelated_keys_are_refused() {
    for key in ["op/other", "op/config2", "server/i-1", "", "servers"] {
        assert!(DocumentKind::from_key(key).is_err(), "{key}");
    }
}

#[test]
fn evacuation_counts_with_any_value() {
    let kind = DocumentKind::from_key("op/evacuate/pnw-a").expect("a key");
    let zone = "pnw-a".parse().expect("a zone");
    assert_eq!(kind, DocumentKind::Evacuation(zone));
    for value in [&b"{}"[..], b"", b"no", b"null", b"\xff", b"{\"a\": 1}"] {
        assert!(
            matches!(kind.parse(value), Ok(Document::Evacuation(zone)) if zone.as_str() == "pnw-a"),
            "{value:?}"
        );
    }
}

#[test]
fn evacuation_of_an_invalid_zone_name_is_refused() {
    let long = format!("op/evacuate/{}", "z".repeat(4_096));
    for key in [
        "op/evacuate/",
        "op/evacuate",
        "op/evacuate/a b",
        "op/evacuate/a/b",
        &long,
    ] {
        let error = DocumentKind::from_key(key).expect_err(key);
        assert!(error.to_string().len() < 400, "{error}");
    }
}

#[test]
fn config_is_parsed() {
    let config = parse_config(&config()).expect("a configuration");
    assert_eq!((config.version, config.routes.len()), (7, 2));
    assert_eq!(config.routes.idle_time, Some(Duration::from_secs(15)));
    let frontend = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
    let route = config.routes.find(frontend).expect("a route");
    let weights: Vec<u32> = route.shares.iter().map(|share| share.weight).collect();
    assert_eq!(weights, [90, 10]);
    assert_eq!(route.timeout, Duration::from_millis(1_500));
    let goal = Some(Duration::from_millis(300));
    assert_eq!((route.priority, route.latency_goal), (2, goal));
    let other = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 80);
    let route = config.routes.find(other).expect("a route");
    assert_eq!(route.shares[0].service.as_str(), "wuno96b");
    assert_eq!(
        (route.priority, route.latency_goal),
        (LOWEST_PRIORITY, None)
    );
}

/// Guards against a route that is lost because of a field that it can be used without.
#[test]
fn route_with_an_invalid_priority_or_goal_is_kept_without_it() {
    for (field, value) in [
        ("priority", json!("high")),
        ("priority", json!(-1)),
        ("latency_goal_ms", json!(0.5)),
        ("latency_goal_ms", json!([300])),
    ] {
        let mut config = config();
        config["routes"][0][field] = value;
        let config = parse_config(&config).expect("a configuration");
        assert_eq!((config.routes.len(), config.skipped.len()), (2, 1));
        let frontend = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
        let route = config.routes.find(frontend).expect("a route");
        match field {
            "priority" => assert_eq!(route.priority, LOWEST_PRIORITY),
            _ => assert_eq!(route.latency_goal, None),
        }
    }
    let mut config = config();
    config["routes"][0]["priority"] = Value::Null;
    assert!(
        parse_config(&config)
            .expect("a configuration")
            .skipped
            .is_empty()
    );
}

#[test]
fn invalid_route_is_skipped() {
    let invalid = [
        json!(7),
        json!({"host": "no address", "prefix": "/1/", "timeout_ms": 1, "service": "a"}),
        json!({"host": "10.0.0.1", "prefix": "/70000/", "timeout_ms": 1, "service": "a"}),
        json!({"host": "10.0.0.1", "prefix": "/1/", "timeout_ms": 1}),
        json!({"host": "10.0.0.1", "prefix": "/1/", "timeout_ms": 1, "traffic_split": [{}]}),
    ];
    for route in invalid {
        let mut config = config();
        config["routes"].as_array_mut().expect("routes").push(route);
        let config = parse_config(&config).expect("a configuration");
        assert_eq!((config.routes.len(), config.skipped.len()), (2, 1));
    }
}

#[test]
fn config_without_version_or_routes_is_refused() {
    for field in ["config_version", "routes"] {
        let mut config = config();
        config.as_object_mut().expect("an object").remove(field);
        assert!(parse_config(&config).is_err(), "{field}");
    }
}

#[test]
fn any_bytes_are_parsed_or_refused() {
    let target = DocumentKind::from_key("servers/i-1").expect("a key");
    for_each_bytes(512, |bytes| {
        let _ = target.parse(bytes);
        let _ = DocumentKind::Config.parse(bytes);
        if let Ok(key) = std::str::from_utf8(bytes) {
            let _ = DocumentKind::from_key(key);
        }
    });
}

#[test]
fn any_change_of_valid_bytes_is_parsed_or_refused() {
    let generator = (produce::<u16>(), produce::<u8>(), produce::<bool>());
    let generator = generator.map_gen(|change| change);
    let target = DocumentKind::from_key("servers/i-1").expect("a key");
    for_each_input(&generator, |&(at, byte, is_truncated)| {
        for (kind, valid) in [(&target, entry()), (&DocumentKind::Config, config())] {
            let mut bytes = valid.to_string().into_bytes();
            let at = usize::from(at) % bytes.len();
            match is_truncated {
                true => bytes.truncate(at),
                false => bytes[at] = byte,
            }
            let _ = kind.parse(&bytes);
        }
    });
}
