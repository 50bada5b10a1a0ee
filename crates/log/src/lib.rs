//! Log lines on standard error: text for people or one JSON object a line, with the fields that [`tracing`] gives.
//!
//! What is written is rare by design: nothing a request, nothing a client can cause at will. Lines that repeat within a
//! second are merged and counted, and a second has 200 at the most ([`rate_limit`]). A program calls [`init`] once and
//! [`flush_summaries`] now and then, so that what was kept back is told also when nothing follows.

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

/// How lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// `program: message; field=value`.
    #[default]
    Text,
    /// One object a line: `ts` (UTC), `level`, `program`, `target`, `message`, the event's fields, and `span`.
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

static LINES: OnceLock<Lines> = OnceLock::new();

/// Whether levels can be read; see [`init`].
///
/// # Errors
/// With what may stand there.
pub fn check(levels: &str) -> Result<(), String> {
    targets(levels).map(drop)
}

fn targets(levels: &str) -> Result<Targets, String> {
    levels.parse().map_err(|e| {
        format!(
            "{levels:?}: {e}; error, warn, info, debug or trace, also by target: info,frostvale_agent=debug"
        )
    })
}

/// Begins to write. `who` is a field of every JSON line, and its value. `levels` is a level, or levels by target: `info`, `info,frostvale_agent::rls=debug`.
///
/// # Errors
/// When the levels can't be read, or it was begun already.
pub fn init(
    program: &'static str,
    who: (&'static str, &str),
    format: Format,
    levels: &str,
) -> Result<(), String> {
    let targets = targets(levels).map_err(|e| format!("log level {e}"))?;
    let who = (who.0, who.1.to_string());
    let lines = LINES.get_or_init(|| Lines { program, who, format, limit: Mutex::default() });
    let layer = lines.with_filter(targets);
    tracing_subscriber::registry().with(layer).try_init().map_err(|e| e.to_string())
}

/// Tells what was kept back, once its second is over.
pub fn flush_summaries() {
    if let Some(lines) = LINES.get() {
        lines.say_again(|limit, now| limit.close_expired_window(now));
    }
}

/// Tells what was kept back, at the end.
pub fn finish() {
    if let Some(lines) = LINES.get() {
        lines.say_again(|limit, now| limit.close_window(now));
    }
}

struct Lines {
    program: &'static str,
    who: (&'static str, String),
    format: Format,
    limit: Mutex<RateLimiter>,
}

/// The fields of a span, kept with it.
struct Fields(Map<String, Value>);

#[derive(Default)]
struct Read {
    message: String,
    fields: Map<String, Value>,
}

impl Read {
    fn put(&mut self, field: &Field, value: Value) {
        match (field.name(), value) {
            ("message", Value::String(text)) => self.message = text,
            (name, value) => drop(self.fields.insert(name.to_string(), value)),
        }
    }
}

impl Visit for Read {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.put(field, Value::String(format!("{value:?}")));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.put(field, Value::String(value.to_string()));
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.put(field, value.into());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.put(field, value.into());
    }

    fn record_f64(&mut self, field: &Field, value: f64) {
        self.put(field, value.into());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.put(field, value.into());
    }
}

impl<S> Layer<S> for &'static Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
{
    fn on_new_span(&self, attrs: &Attributes<'_>, id: &Id, ctx: Context<'_, S>) {
        let mut read = Read::default();
        attrs.record(&mut read);
        if let Some(span) = ctx.span(id) {
            span.extensions_mut().insert(Fields(read.fields));
        }
    }

    fn on_record(&self, id: &Id, values: &Record<'_>, ctx: Context<'_, S>) {
        let mut read = Read::default();
        values.record(&mut read);
        if let Some(span) = ctx.span(id)
            && let Some(Fields(kept)) = span.extensions_mut().get_mut::<Fields>()
        {
            kept.extend(read.fields);
        }
    }

    fn on_event(&self, event: &Event<'_>, ctx: Context<'_, S>) {
        let mut read = Read::default();
        event.record(&mut read);
        let mut spans = Vec::new();
        for span in ctx.event_scope(event).into_iter().flat_map(|scope| scope.from_root()) {
            let mut it = span.extensions().get::<Fields>().map(|f| f.0.clone()).unwrap_or_default();
            it.insert("name".into(), span.name().into());
            spans.push(Value::Object(it));
        }
        let meta = event.metadata();
        self.take(*meta.level(), meta.target(), &read.message, read.fields, spans);
    }
}

impl Lines {
    fn take(&self, level: Level, target: &str, message: &str, fields: Map<String, Value>, spans: Vec<Value>) {
        let mut text = message.to_string();
        for (name, value) in &fields {
            let word = value.as_str().map_or_else(|| value.to_string(), |s| printable(s, ' '));
            let _ = write!(text, "; {name}={word}");
        }
        let mut hasher = DefaultHasher::new();
        (level.as_str(), target, &text).hash(&mut hasher);
        let key = hasher.finish();
        let now = unix_ms();
        let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        let told = limit.close_expired_window(now);
        self.tell(told, now);
        if limit.admit(key, || text.clone()) == LineDecision::Merge {
            return;
        }
        drop(limit);
        match self.format {
            Format::Text => self.write(&format!("{}: {}", self.program, printable(&text, ' '))),
            Format::Json => {
                let mut line = self.head(now, level.as_str(), target, message);
                for (name, value) in fields {
                    // What the line itself says goes first.
                    line.entry(name).or_insert(value);
                }
                if !spans.is_empty() {
                    line.insert("spans".into(), Value::Array(spans));
                }
                self.write(&Value::Object(line).to_string());
            }
        }
    }

    fn head(&self, now: u64, level: &str, target: &str, message: &str) -> Map<String, Value> {
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

    fn say_again(&self, end: impl FnOnce(&mut RateLimiter, u64) -> Vec<Summary>) {
        let now = unix_ms();
        let told = end(&mut self.limit.lock().unwrap_or_else(PoisonError::into_inner), now);
        self.tell(told, now);
    }

    fn tell(&self, told: Vec<Summary>, now: u64) {
        for Summary { line, count } in told {
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
                Format::Text => self.write(&format!("{}: {}", self.program, printable(&message, ' '))),
                Format::Json => {
                    let mut line = self.head(now, "INFO", "frostvale_log", &message);
                    line.insert("repeated".into(), json!(count));
                    self.write(&Value::Object(line).to_string());
                }
            }
        }
    }

    fn write(&self, line: &str) {
        let mut out = std::io::stderr().lock();
        // Nobody is left to be told of a log that can't be written.
        let _ = out.write_all(format!("{line}\n").as_bytes());
    }
}

/// One line of text stays one line, whatever a peer put into it.
fn printable(text: &str, instead: char) -> String {
    text.chars().map(|c| if c.is_control() { instead } else { c }).collect()
}

fn unix_ms() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix.as_millis()).unwrap_or(0)
}

/// RFC 3339 in UTC, with milliseconds.
fn timestamp(unix_ms: u64) -> String {
    humantime::format_rfc3339_millis(UNIX_EPOCH + Duration::from_millis(unix_ms)).to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_stays_one_line() {
        assert_eq!(printable("a\nb\u{1b}[2J", ' '), "a b [2J");
    }
}
