//! Parses and validates a client's request, and encodes it for a worker.

use crate::resp::{self, Command};
use frostvale::{Name, RawEffect, RawSettings, Settings};
use std::ops::Range;

/// The longest wait, in ms, that a request may ask for where its class sets no deadline.
pub const MAX_WAIT_MS: f64 = 60_000.0;
/// Customer numbers are below this.
pub const MAX_CUSTOMERS: u64 = 1 << 33;

/// Parses exactly 16 hex digits.
pub fn parse_hex(text: &str) -> Option<u64> {
    let is_valid = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| is_valid)
}

/// The largest number of units that one request may have.
pub fn max_units(settings: &Settings) -> f64 {
    if settings.max_request_units > 0.0 { settings.max_request_units } else { 1e6 }
}

/// A validated request.
pub struct ClientRequest {
    /// The whole command as received.
    pub command: Box<[u8]>,
    /// The length of the command before the header of the field list.
    prefix_len: usize,
    /// The byte range of the field list in `command`.
    fields: Range<usize>,
    /// The byte range of the digits of `d` in `command`.
    deadline: Range<usize>,
    pub customer: Name,
    /// The id that the client gave the request.
    pub client_id: u64,
    pub class: usize,
    pub plan: usize,
    pub units: f64,
    pub first: u32,
    pub spread: u32,
    pub repeat: bool,
    /// How long the client waits, in ms: `d`, bounded by the class's deadline.
    pub wait_ms: f64,
}

impl ClientRequest {
    /// Appends the request for a worker: unchanged but for `d`, which holds how long the gatekeeper waits, in
    /// ms.
    pub fn write_to_worker(&self, wait_ms: u64, out: &mut Vec<u8>) {
        let mut digits = Vec::with_capacity(20);
        resp::put_digits(&mut digits, wait_ms);
        out.extend_from_slice(&self.command[..self.prefix_len]);
        resp::put_number(out, b'$', self.fields.len() - self.deadline.len() + digits.len());
        out.extend_from_slice(&self.command[self.fields.start..self.deadline.start]);
        out.extend_from_slice(&digits);
        out.extend_from_slice(&self.command[self.deadline.end..]);
    }

    /// Parses a request. The error text names the invalid or missing field. `check_new_id` says whether an id
    /// may be used.
    pub fn parse(
        conf: &RawSettings,
        settings: &Settings,
        check_new_id: impl Fn(u64) -> Result<(), &'static str>,
        bytes: &[u8],
        command: &Command,
    ) -> Result<ClientRequest, &'static str> {
        let hex = |k: usize| {
            let text = std::str::from_utf8(command.part(bytes, k)).ok()?;
            Some((text, parse_hex(text)?))
        };
        if !(4..=resp::MAX_PARTS).contains(&command.count) {
            return Err("wrong number of arguments");
        }
        let (customer, _) = hex(1).filter(|(_, number)| *number < MAX_CUSTOMERS).ok_or("bad customer")?;
        let (_, client_id) = hex(2).ok_or("bad id")?;
        check_new_id(client_id)?;
        let fields = command.range(3);
        let text = std::str::from_utf8(&bytes[fields.clone()]).map_err(|_| "bad fields")?;
        let (mut class, mut plan, mut deadline) = (None, None, None);
        let (mut units, mut first, mut spread) = (None, None, None);
        let (mut keyed, mut repeat) = (false, false);
        let mut position = fields.start;
        for field in text.split(',') {
            let (name, value) = field.split_once('=').ok_or("bad fields")?;
            let range = position + name.len() + 1..position + field.len();
            position += field.len() + 1;
            let parse_u32 =
                |text: &str| text.parse::<u32>().ok().filter(|_| text.as_bytes()[0].is_ascii_digit());
            let is_duplicate = match name {
                "c" => {
                    class.replace(conf.classes.iter().position(|c| c.name == value).ok_or("bad c")?).is_some()
                }
                "t" => {
                    plan.replace(conf.plans.iter().position(|p| p.name == value).ok_or("bad t")?).is_some()
                }
                "d" => {
                    let ms = parse_u32(value).map(f64::from).filter(|ms| (1.0..=MAX_WAIT_MS).contains(ms));
                    deadline.replace((ms.ok_or("bad d")?, range)).is_some()
                }
                "units" => {
                    let limit = max_units(settings);
                    let is_valid = |x: &f64| x.is_finite() && *x > 0.0 && *x <= limit;
                    units.replace(value.parse::<f64>().ok().filter(is_valid).ok_or("bad units")?).is_some()
                }
                "first" => {
                    let is_valid = |k: &u32| *k < settings.gatekeepers;
                    first.replace(parse_u32(value).filter(is_valid).ok_or("bad first")?).is_some()
                }
                "spread" => {
                    let is_valid = |n: &u32| (1..=settings.gatekeepers).contains(n);
                    spread.replace(parse_u32(value).filter(is_valid).ok_or("bad spread")?).is_some()
                }
                "k" if value.is_empty() => return Err("bad k"),
                "k" => std::mem::replace(&mut keyed, true),
                "r" => {
                    repeat = value == "1";
                    false
                }
                _ => false,
            };
            if is_duplicate {
                return Err("a field stands twice");
            }
        }
        let class = class.ok_or("missing c")?;
        let effect = conf.classes[class].effect;
        if (command.part(bytes, 0) == b"Q.ASK") != (effect == RawEffect::Repeatable) {
            return Err("not the command of this class");
        }
        if effect == RawEffect::ByKey && !keyed {
            return Err("missing k");
        }
        let (wait_ms, deadline) = deadline.ok_or("missing d")?;
        // An answer after the class's deadline is of no use, however long the client would wait.
        let limit = conf.classes[class].deadline;
        let wait_ms = if limit > 0.0 { wait_ms.min(limit) } else { wait_ms };
        Ok(ClientRequest {
            command: bytes[..command.len].into(),
            // The field list's own header stands between the end of the previous part and the list.
            prefix_len: command.range(2).end + 2,
            fields,
            deadline,
            customer: customer.into(),
            client_id,
            class,
            plan: plan.ok_or("missing t")?,
            units: units.ok_or("missing units")?,
            first: first.ok_or("missing first")?,
            spread: spread.ok_or("missing spread")?,
            repeat,
            wait_ms,
        })
    }
}
