//! Renders settings files from a template, as the platform does.

use serde_json::Value;

/// Replaces `{{a}}`, `{{a.b}}` and `{{a.0}}` by values.
///
/// The text between `{{#a.b}}` and `{{/a.b}}` is kept only if there is such a value; `{{.}}` stands
/// for the value there. The elements of a list are joined by commas; a missing value is replaced by an empty text.
pub fn render(template: &str, values: &Value) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, tail)) = rest.split_once("{{") {
        text.push_str(before);
        let (path, after) = tail.split_once("}}").unwrap_or((tail, ""));
        if let Some(path) = path.strip_prefix('#') {
            let end = format!("{{{{/{path}}}}}");
            let (section, after) = after.split_once(&end).unwrap_or((after, ""));
            if let Some(value) = find(values, path.trim()).filter(|value| !value.is_null()) {
                text.push_str(&section.replace("{{.}}", &text_of(Some(value))));
            }
            rest = after;
            continue;
        }
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
