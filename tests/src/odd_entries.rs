//! Entries of another writer: values that a target would not write about itself.

use serde_json::{Value, json};

/// Time of birth of the targets.
pub const BORN: u64 = 1_790_000_000_000;

/// An entry with its name for messages.
#[derive(Debug, Clone)]
pub struct OddEntry {
    /// What is odd about the entry.
    pub name: String,
    /// The value of the document.
    pub value: Vec<u8>,
}

impl OddEntry {
    fn new(name: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        Self {
            name: name.into(),
            value: value.into(),
        }
    }
}

/// Returns the entry of a target of `orders` at `address`.
pub fn own_entry(address: &str) -> Value {
    json!({
        "service": "orders", "address": address, "zone": "a", "config_version": "v1",
        "capacity": 2, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": BORN,
    })
}

/// Returns `own` with `field` replaced by the JSON text `text`.
fn with_text(own: &Value, field: &str, text: &str) -> String {
    let mut own = own.clone();
    own[field] = json!("\u{1}");
    own.to_string().replace(r#""\u0001""#, text)
}

/// Returns entries that cannot be read as an entry of a target.
pub fn unreadable_entries(own: &Value) -> Vec<OddEntry> {
    let mut list = vec![
        OddEntry::new("empty", ""),
        OddEntry::new("invalid UTF-8", b"{\"service\": \"\xff\xfe\"}".to_vec()),
        OddEntry::new("random bytes", vec![0x80; 1_000]),
        OddEntry::new("cut off", &own.to_string().as_bytes()[..60]),
        OddEntry::new("two objects", format!("{own}{own}")),
        OddEntry::new("number too large", "1e400"),
        OddEntry::new("300 kB of spaces", vec![b' '; 300_000]),
        OddEntry::new("300 kB of text", format!("\"{}\"", "x".repeat(300_000))),
    ];
    for text in ["null", "true", "0", "[]", "{}", "\"servers\"", "[{}]"] {
        list.push(OddEntry::new(text, text));
    }
    for depth in [10, 100, 127, 128, 129, 1_000, 100_000] {
        for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
            let nested = format!("{}0{}", open.repeat(depth), close.repeat(depth));
            let name = format!("{depth} times {open}");
            list.push(OddEntry::new(name.as_str(), nested.as_str()));
            for field in ["service", "born"] {
                let name = format!("{name} in {field}");
                list.push(OddEntry::new(name, with_text(own, field, &nested)));
            }
        }
    }
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    list.push(OddEntry::new(
        "very deep in a field of its own",
        with_text(own, "extra", &nested),
    ));
    let names = ["service", "address", "zone", "config_version", "state"];
    let numbers = ["capacity", "warmup_left_ms", "sequence"];
    for field in names.iter().chain(&numbers) {
        let mut entry = own.clone();
        entry.as_object_mut().expect("an object").remove(*field);
        list.push(OddEntry::new(format!("no {field}"), entry.to_string()));
    }
    for field in names {
        for text in ["null", "true", "7", "1.5", "[]", "{}", "[\"orders\"]"] {
            let name = format!("{field} is {text}");
            list.push(OddEntry::new(name, with_text(own, field, text)));
        }
    }
    for field in numbers.iter().chain(&["born"]) {
        for text in [
            "null",
            "true",
            "\"7\"",
            "-1",
            "0.5",
            "7.0",
            "[]",
            "{}",
            "1e400",
            "-1e400",
            "1e30",
            "18446744073709551616",
            "9007199254740993.5",
        ] {
            let name = format!("{field} is {text}");
            list.push(OddEntry::new(name, with_text(own, field, text)));
        }
    }
    let huge = "9".repeat(200_000);
    for (field, text) in [
        ("state", "\"resting\""),
        ("state", "\"\""),
        ("service", "\"\""),
        ("zone", "\"\""),
        ("capacity", "0"),
        ("capacity", "18446744073709551615"),
        ("sequence", huge.as_str()),
        ("address", "\"\""),
        ("address", "\"10.0.0.1\""),
        ("address", "\"10.0.0.1:0\""),
        ("address", "\"10.0.0.1:65536\""),
        ("address", "\"10.0.0.1:99999\""),
        ("address", "\"10.0.0.1:-1\""),
        ("address", "\"10.0.0.256:8080\""),
        ("address", "\"0.0.0.0:8080\""),
        ("address", "\"224.0.0.1:8080\""),
        ("address", "\"255.255.255.255:8080\""),
        ("address", "\"[::1]:8080\""),
        ("address", "\"[::ffff:10.0.0.1]:8080\""),
        ("address", "\"localhost:8080\""),
    ] {
        let name: String = format!("{field} is {text}").chars().take(60).collect();
        list.push(OddEntry::new(name, with_text(own, field, text)));
    }
    list
}

/// Returns entries that could be those of a target, but not of the one with the entry `own`.
pub fn contradicting_entries(own: &Value) -> Vec<OddEntry> {
    let mut list = Vec::new();
    let mut unborn = own.clone();
    unborn.as_object_mut().expect("an object").remove("born");
    list.push(OddEntry::new("no born", unborn.to_string()));
    let elsewhere = "10.0.9.9:8080";
    for (born, address, state) in [
        (BORN, None, "ready"),
        (BORN + 1, None, "ready"),
        (BORN - 1, Some(elsewhere), "ready"),
        (u64::MAX, Some(elsewhere), "ready"),
        (BORN, Some(elsewhere), "draining"),
    ] {
        for service in ["stocktake", "charts"] {
            let mut entry = own.clone();
            entry["service"] = json!(service);
            entry["born"] = json!(born);
            entry["state"] = json!(state);
            if let Some(address) = address {
                entry["address"] = json!(address);
            }
            let name = format!("{service} at {address:?}, born {born}, {state}");
            list.push(OddEntry::new(name, entry.to_string()));
        }
    }
    for born in [BORN, BORN + 1] {
        let mut entry = own.clone();
        entry["address"] = json!(elsewhere);
        entry["born"] = json!(born);
        list.push(OddEntry::new(
            format!("at {elsewhere}, born {born}"),
            entry.to_string(),
        ));
    }
    // The last of duplicate fields counts.
    let own = own.to_string();
    for service in ["stocktake", "charts"] {
        let twice = format!("{},\"service\":\"{service}\"}}", &own[..own.len() - 1]);
        list.push(OddEntry::new(format!("then service {service}"), twice));
    }
    list
}

/// Returns entries with odd values that a target may write about itself.
pub fn unusual_entries(own: &Value) -> Vec<OddEntry> {
    let deep = format!("{}0{}", "[".repeat(100), "]".repeat(100));
    let long = format!("\"{}\"", "x".repeat(300_000));
    let mut list = Vec::new();
    for (field, text) in [
        ("born", "1790000000001"),
        ("born", "18446744073709551615"),
        ("sequence", "18446744073709551615"),
        ("sequence", "0"),
        ("warmup_left_ms", "18446744073709551615"),
        ("capacity", "1048576"),
        ("config_version", long.as_str()),
        ("extra", deep.as_str()),
        ("extra", "1e300"),
    ] {
        let name: String = format!("{field} is {text}").chars().take(60).collect();
        list.push(OddEntry::new(name, with_text(own, field, text)));
    }
    list
}
