//! Differences between two bundles.

use std::fmt;

use crate::bundle;

/// Field with different values in two bundles.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Change {
    /// Value in the new bundle; `None` if the field was removed.
    pub after: Option<String>,
    /// Value in the old bundle; `None` if the field was added.
    pub before: Option<String>,
    /// Path of the field, such as `services.orders.floor_servers`.
    pub field: String,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = &self.field;
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(formatter, "+ {field}: {after}"),
            (Some(before), None) => write!(formatter, "- {field}: {before}"),
            (Some(before), Some(after)) => write!(formatter, "~ {field}: {before} -> {after}"),
            (None, None) => write!(formatter, "= {field}"),
        }
    }
}

/// Returns each field whose value in `after` differs from that in `before`.
/// Changed and removed fields come first, in the order of `before`, then the
/// added fields.
#[must_use]
pub fn diff(before: &bundle::Bundle, after: &bundle::Bundle) -> Vec<Change> {
    let before = flatten(before);
    let mut after = flatten(after);
    let mut changes = Vec::new();
    for (field, old) in before {
        let new = after.shift_remove(&field);
        if new.as_ref() != Some(&old) {
            changes.push(Change {
                after: new,
                before: Some(old),
                field,
            });
        }
    }
    changes.extend(after.into_iter().map(|(field, new)| Change {
        after: Some(new),
        before: None,
        field,
    }));
    changes
}

fn flatten(bundle: &bundle::Bundle) -> indexmap::IndexMap<String, String> {
    let mut fields = indexmap::IndexMap::new();
    let value = serde_json::to_value(bundle).unwrap_or_default();
    let serde_json::Value::Object(mut top) = value else {
        return fields;
    };
    // Routes match by prefix and not by position, so a route is identified by
    // its methods and path prefix and not by its index.
    if let Some(serde_json::Value::Array(routes)) = top.remove("routes") {
        for route in routes {
            let prefix = route["path_prefix"].as_str().unwrap_or("").to_owned();
            let methods = match &route["methods"] {
                serde_json::Value::Null => "*".to_owned(),
                methods => methods.to_string(),
            };
            collect_fields(&format!("routes({methods} {prefix})"), &route, &mut fields);
        }
    }
    for (name, value) in &top {
        collect_fields(name, value, &mut fields);
    }
    fields
}

fn collect_fields(
    path: &str,
    value: &serde_json::Value,
    fields: &mut indexmap::IndexMap<String, String>,
) {
    match value {
        serde_json::Value::Object(map) => {
            for (name, value) in map {
                collect_fields(&format!("{path}.{name}"), value, fields);
            }
        }
        other => {
            fields.insert(path.to_owned(), other.to_string());
        }
    }
}
