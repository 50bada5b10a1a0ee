//! A request as a client writes it, read and checked.

use crate::resp::{self, Command};
use frostvale::{Name, RawEffect, RawSettings, Settings};
use std::ops::Range;

/// The longest time to wait that is taken, in ms, where the class sets no deadline.
pub const MAX_WAIT_MS: f64 = 60_000.0;
/// Customers are numbers below this.
pub const MAX_CUSTOMERS: u64 = 1 << 33;

/// 16 hex digits as a number.
pub fn parse_hex(text: &str) -> Option<u64> {
    let sound = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| sound)
}

/// The most units that one request may count.
pub fn max_units(settings: &Settings) -> f64 {
    if settings.max_request_units > 0.0 { settings.max_request_units } else { 1e6 }
}

/// A request as the client wrote it.
pub struct ClientRequest {
    /// The whole command, and where in it the list of fields stands, its head included, and `d`'s digits.
    pub command: Box<[u8]>,
    head: usize,
    fields: Range<usize>,
    deadline: Range<usize>,
    pub customer: Name,
    /// The id that the client gave it.
    pub client_id: u64,
    pub class: usize,
    pub plan: usize,
    pub units: f64,
    pub first: u32,
    pub spread: u32,
    pub repeat: bool,
    /// How long the client waits, in ms.
    pub wait_ms: f64,
}

impl ClientRequest {
    /// Writes it for a worker: unchanged but for `d`, which tells how long we wait.
    pub fn write_to_worker(&self, wait: u64, out: &mut Vec<u8>) {
        let mut digits = Vec::with_capacity(20);
        resp::put_digits(&mut digits, wait);
        out.extend_from_slice(&self.command[..self.head]);
        resp::put_number(out, b'$', self.fields.len() - self.deadline.len() + digits.len());
        out.extend_from_slice(&self.command[self.fields.start..self.deadline.start]);
        out.extend_from_slice(&digits);
        out.extend_from_slice(&self.command[self.deadline.end..]);
    }

    /// Reads a request. The text says which field is bad or missing.
    pub fn parse(
        conf: &RawSettings,
        settings: &Settings,
        is_open: impl Fn(u64) -> bool,
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
        if is_open(client_id) {
            return Err("this id is open already");
        }
        let fields = command.range(3);
        let text = std::str::from_utf8(&bytes[fields.clone()]).map_err(|_| "bad fields")?;
        let (mut class, mut plan, mut deadline) = (None, None, None);
        let (mut units, mut first, mut spread) = (None, None, None);
        let (mut keyed, mut repeat) = (false, false);
        let mut at = fields.start;
        for field in text.split(',') {
            let (name, value) = field.split_once('=').ok_or("bad fields")?;
            let place = at + name.len() + 1..at + field.len();
            at += field.len() + 1;
            let whole = |text: &str| text.parse::<u32>().ok().filter(|_| text.as_bytes()[0].is_ascii_digit());
            let again = match name {
                "c" => {
                    class.replace(conf.classes.iter().position(|c| c.name == value).ok_or("bad c")?).is_some()
                }
                "t" => {
                    plan.replace(conf.plans.iter().position(|p| p.name == value).ok_or("bad t")?).is_some()
                }
                "d" => {
                    let ms = whole(value).map(f64::from).filter(|ms| (1.0..=MAX_WAIT_MS).contains(ms));
                    deadline.replace((ms.ok_or("bad d")?, place)).is_some()
                }
                "units" => {
                    let most = max_units(settings);
                    let sound = |x: &f64| x.is_finite() && *x > 0.0 && *x <= most;
                    units.replace(value.parse::<f64>().ok().filter(sound).ok_or("bad units")?).is_some()
                }
                "first" => {
                    let sound = |k: &u32| *k < settings.gatekeepers;
                    first.replace(whole(value).filter(sound).ok_or("bad first")?).is_some()
                }
                "spread" => {
                    let sound = |n: &u32| (1..=settings.gatekeepers).contains(n);
                    spread.replace(whole(value).filter(sound).ok_or("bad spread")?).is_some()
                }
                "k" if value.is_empty() => return Err("bad k"),
                "k" => std::mem::replace(&mut keyed, true),
                "r" => {
                    repeat = value == "1";
                    false
                }
                _ => false,
            };
            if again {
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
        // Past the class's deadline no answer is of use, whatever the client would wait.
        let most = conf.classes[class].deadline;
        let wait_ms = if most > 0.0 { wait_ms.min(most) } else { wait_ms };
        Ok(ClientRequest {
            command: bytes[..command.len].into(),
            // The fields' own head stands between the end of the part before and them.
            head: command.range(2).end + 2,
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
