//! Writes [`tracing`] events to standard error, as text or as one JSON object per line.
//!
//! Log lines are rare by design: none is written per request, and none can be triggered by a client at will.
//! Repeated lines within a second are merged and counted, and at most 200 lines are written per second
//! ([`rate_limit`]). A program calls [`init`] once and [`flush_summaries`] periodically, so that the counts
//! of merged lines are also written when no further line follows.

pub mod rate_limit;

use rate_limit::{LineDecision, RateLimiter, Summary};
use serde_json::{Map, Value, json};
use std::fmt::{Debug, Write as _};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;
use std::str::FromStr;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// `program: message; field=value`.
    #[default]
    Text,
    /// One object per line: `ts` (UTC), `level`, `program`, `target`, `message`, the event's fields, and
    /// `spans`.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err("text or json".into()),
        }
    }
}

static LAYER: OnceLock<LogLayer> = OnceLock::new();

/// Checks that a level specification is valid; see [`init`].
///
/// # Errors
/// Returns the invalid specification and the accepted forms.
pub fn check(levels: &str) -> Result<(), String> {
    parse_targets(levels).map(drop)
}

fn parse_targets(levels: &str) -> Result<Targets, String> {
    levels.parse().map_err(|e| {
        format!(
            "{levels:?}: {e}; error, warn, info, debug or trace, also by target: info,frostvale_agent=debug"
        )
    })
}

/// Installs the global subscriber. `who` is the name and value of a field of every JSON line, left out if the
/// value is empty. `levels` is a level, or levels by target: `info`, `info,frostvale_agent::rls=debug`.
///
/// # Errors
/// Returns an error if `levels` is invalid or a global subscriber is already installed.
pub fn init(
    program: &'static str,
    who: (&'static str, &str),
    format: Format,
    levels: &str,
) -> Result<(), String> {
    let targets = parse_targets(levels).map_err(|e| format!("log level {e}"))?;
    let who = (who.0, who.1.to_string());
    let log = LAYER.get_or_init(|| LogLayer { program, who, format, limit: Mutex::default() });
    let layer = log.with_filter(targets);
    tracing_subscriber::registry().with(layer).try_init().map_err(|e| e.to_string())
}

/// Writes the summaries of the current window if its second is over.
pub fn flush_summaries() {
    if let Some(log) = LAYER.get() {
        log.write_summaries_of(|limit, now| limit.close_expired_window(now));
    }
}

/// Writes the summaries of the current window before the program ends.
pub fn finish() {
    if let Some(log) = LAYER.get() {
        log.write_summaries_of(|limit, now| limit.close_window(now));
    }
}

/// The layer that formats and writes events.
struct LogLayer {
    program: &'static str,
    who: (&'static str, String),
    format: Format,
    limit: Mutex<RateLimiter>,
}

/// The fields of a span, stored in its extensions.
struct SpanFields(Map<String, Value>);

#[derive(Default)]
struct FieldVisitor {
    message: String,
    fields: Map<String, Value>,
}

impl FieldVisitor {
    fn insert(&mut self, field: &Field, value: Value) {
        match (field.name(), value) {
            ("message", Value::String(text)) => self.message = text,
            (name, value) => drop(self.fields.insert(name.to_string(), value)),
        }
    }
}

impl Visit for FieldVisitor {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.insert(field, Value::String(format!("{value:?}")));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.insert(field, Value::String(value.to_string()));
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.insert(field, value.into());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.insert(field, value.into());
    }

    fn record_f64(&mut self, field: &Field, value: f64) {
        self.insert(field, value.into());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.insert(field, value.into());
    }
}

impl<S> Layer<S> for &'static LogLayer
where
    S: Subscriber + for<'a> LookupSpan<'a>,
{
    fn on_new_span(&self, attrs: &Attributes<'_>, id: &Id, ctx: Context<'_, S>) {
        let mut visitor = FieldVisitor::default();
        attrs.record(&mut visitor);
        if let Some(span) = ctx.span(id) {
            span.extensions_mut().insert(SpanFields(visitor.fields));
        }
    }

    fn on_record(&self, id: &Id, values: &Record<'_>, ctx: Context<'_, S>) {
        let mut visitor = FieldVisitor::default();
        values.record(&mut visitor);
        if let Some(span) = ctx.span(id)
            && let Some(SpanFields(fields)) = span.extensions_mut().get_mut::<SpanFields>()
        {
            fields.extend(visitor.fields);
        }
    }

    fn on_event(&self, event: &Event<'_>, ctx: Context<'_, S>) {
        let mut visitor = FieldVisitor::default();
        event.record(&mut visitor);
        let mut spans = Vec::new();
        for span in ctx.event_scope(event).into_iter().flat_map(|scope| scope.from_root()) {
            let mut fields = span.extensions().get::<SpanFields>().map(|f| f.0.clone()).unwrap_or_default();
            fields.insert("name".into(), span.name().into());
            spans.push(Value::Object(fields));
        }
        let meta = event.metadata();
        self.write_event(*meta.level(), meta.target(), &visitor.message, visitor.fields, spans);
    }
}

impl LogLayer {
    fn write_event(
        &self,
        level: Level,
        target: &str,
        message: &str,
        fields: Map<String, Value>,
        spans: Vec<Value>,
    ) {
        let mut text = message.to_string();
        for (name, value) in &fields {
            let value_text = value.as_str().map_or_else(|| value.to_string(), |s| printable(s, ' '));
            let _ = write!(text, "; {name}={value_text}");
        }
        let mut hasher = DefaultHasher::new();
        (level.as_str(), target, &text).hash(&mut hasher);
        let key = hasher.finish();
        let now = unix_ms();
        let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        let summaries = limit.close_expired_window(now);
        self.write_summaries(summaries, now);
        if limit.admit(key, || text.clone()) == LineDecision::Merge {
            return;
        }
        drop(limit);
        match self.format {
            Format::Text => self.write_line(&format!("{}: {}", self.program, printable(&text, ' '))),
            Format::Json => {
                let mut line = self.common_fields(now, level.as_str(), target, message);
                for (name, value) in fields {
                    // Fields of the line take precedence over fields of the event with the same name.
                    line.entry(name).or_insert(value);
                }
                if !spans.is_empty() {
                    line.insert("spans".into(), Value::Array(spans));
                }
                self.write_line(&Value::Object(line).to_string());
            }
        }
    }

    /// Fields that each JSON line has.
    fn common_fields(&self, now: u64, level: &str, target: &str, message: &str) -> Map<String, Value> {
        let mut line = Map::new();
        for (name, value) in [
            ("ts", timestamp(now)),
            ("level", level.to_string()),
            ("program", self.program.to_string()),
            ("target", target.to_string()),
            ("message", message.to_string()),
        ] {
            line.insert(name.into(), value.into());
        }
        if !self.who.1.is_empty() {
            line.insert(self.who.0.into(), self.who.1.clone().into());
        }
        line
    }

    fn write_summaries_of(&self, close: impl FnOnce(&mut RateLimiter, u64) -> Vec<Summary>) {
        let now = unix_ms();
        let summaries = close(&mut self.limit.lock().unwrap_or_else(PoisonError::into_inner), now);
        self.write_summaries(summaries, now);
    }

    fn write_summaries(&self, summaries: Vec<Summary>, now: u64) {
        for Summary { line, count } in summaries {
            let message = match &line {
                Some(line) => format!("{count} more of: {line}"),
                None => {
                    format!(
                        "{count} further lines were not written: more than {} in a second",
                        rate_limit::MAX_LINES
                    )
                }
            };
            match self.format {
                Format::Text => self.write_line(&format!("{}: {}", self.program, printable(&message, ' '))),
                Format::Json => {
                    let mut line = self.common_fields(now, "INFO", "frostvale_log", &message);
                    line.insert("repeated".into(), json!(count));
                    self.write_line(&Value::Object(line).to_string());
                }
            }
        }
    }

    fn write_line(&self, line: &str) {
        let mut out = std::io::stderr().lock();
        // A failure to write to standard error cannot be reported anywhere else.
        let _ = out.write_all(format!("{line}\n").as_bytes());
    }
}

/// Replaces control characters, so that text from a peer can neither split a line nor contain terminal
/// escapes.
fn printable(text: &str, replacement: char) -> String {
    text.chars().map(|c| if c.is_control() { replacement } else { c }).collect()
}

fn unix_ms() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix.as_millis()).unwrap_or(0)
}

/// Formats a time as RFC 3339 in UTC, with milliseconds.
fn timestamp(unix_ms: u64) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(unix_ms)).to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn printable_replaces_control_characters() {
        assert_eq!(printable("a\nb\u{1b}[2J", ' '), "a b [2J");
    }
}
