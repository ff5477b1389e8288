//! Renders settings files from a template, as the platform does.

use serde_json::Value;

/// Replaces `{{a}}`, `{{a.b}}` and `{{a.0}}` by values.
///
/// The elements of a list are joined by commas; a missing value is replaced by an empty text.
pub fn render(template: &str, values: &Value) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, tail)) = rest.split_once("{{") {
        text.push_str(before);
        let (path, after) = tail.split_once("}}").unwrap_or((tail, ""));
        text.push_str(&text_of(find(values, path.trim())));
        rest = after;
    }
    text + rest
}

fn find<'a>(values: &'a Value, path: &str) -> Option<&'a Value> {
    let mut value = values;
    for step in path.split('.') {
        value = match step.parse::<usize>() {
            Ok(index) => value.get(index)?,
            Err(_) => value.get(step)?,
        };
    }
    Some(value)
}

fn text_of(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(list)) => {
            let parts: Vec<String> = list.iter().map(|part| text_of(Some(part))).collect();
            parts.join(",")
        }
        Some(other) => other.to_string(),
    }
}
