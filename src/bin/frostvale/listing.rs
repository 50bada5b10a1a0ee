//! The list of workers in discovery's form.

use frostvale::Health;
use serde_json::Value;
use std::net::SocketAddr;

/// A line of the list.
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub model: String,
    pub cell: u32,
    pub health: Health,
    pub size: f64,
    pub boot_ms: f64,
}

/// The list, or what changed in it.
pub struct Listed {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}

/// Reads a list in discovery's form. A line that can't be read costs that line only.
pub fn listed(value: &Value) -> Option<Listed> {
    let targets = value.get("targets")?.as_array()?;
    Some(Listed {
        rev: value.get("rev")?.as_u64()?,
        all: value.get("all").and_then(Value::as_bool).unwrap_or(false),
        targets: targets.iter().filter_map(target).collect(),
    })
}

fn target(line: &Value) -> Option<Target> {
    let text = |key: &str| line.get(key).and_then(Value::as_str);
    let figure = |key: &str| line.get(key).and_then(Value::as_f64).filter(|x| x.is_finite() && *x >= 0.0);
    Some(Target {
        uid: text("uid").filter(|uid| !uid.is_empty())?.to_string(),
        endpoint: text("endpoint")?.parse().ok()?,
        zone: text("az").unwrap_or_default().to_string(),
        model: text("model").unwrap_or_default().to_string(),
        cell: line.get("pod_group").and_then(Value::as_u64).and_then(|n| u32::try_from(n).ok())?,
        health: match text("state")? {
            "ready" => Health::Up,
            "draining" => Health::Draining,
            "gone" => Health::Gone,
            _ => return None,
        },
        size: figure("capacity_hint").unwrap_or(1.0),
        boot_ms: figure("boot_ms").unwrap_or(0.0),
    })
}
