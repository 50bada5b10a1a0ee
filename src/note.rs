//! The words of notes between gateways: items of text, nothing decided here.

use crate::state::{Ask, Word};

/// One item of a note, about the customer with this key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Item {
    /// To a keeper: may this be sent on, and so much demand there was.
    Ask { plan: usize, ask: Ask, weight: f64 },
    /// To a keeper: units to charge, or below nothing to give back, and the place given back.
    Tell { plan: usize, units: f64, place: Option<u64> },
    /// From a keeper: its word on a question, the units granted, and demand, grants and store.
    Answer { number: u64, word: Word, units: f64, demand: f64, granted: f64, level: f64 },
}

/// A customer's key in notes: 40 bits of FNV-1a.
pub(crate) fn key_of(name: &str) -> u64 {
    let hash =
        name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    (hash ^ (hash >> 40)) & 0xff_ffff_ffff
}

/// The gateway of a set (`first`, `spread`, counted round among `gateways`) that keeps a customer's store, where
/// the customer's plan has one keeper: with few gateways, all have. The number of a gateway; a hint for who asks,
/// since any gateway of the set answers.
#[must_use]
pub fn keeper_of(customer: &str, first: u32, spread: u32, gateways: u32) -> u32 {
    keeper_at(key_of(customer), (first, spread), gateways)
}

/// The same of a key.
pub(crate) fn keeper_at(key: u64, (first, spread): (u32, u32), gateways: u32) -> u32 {
    let spread = u64::from(if spread == 0 { gateways } else { spread.min(gateways) }.max(1));
    (first + (key % spread) as u32) % gateways.max(1)
}

impl Item {
    /// The item as text. The time a question is good for goes along in place of its end.
    pub(crate) fn write(&self, key: u64, now: f64) -> String {
        match *self {
            Item::Ask { plan, ask: Ask { number, units, extra, shared, whole, until, .. }, weight } => {
                let kind = if shared { 'p' } else { 'a' };
                let (most, whole) = (until - now, if whole { ",w" } else { "" });
                format!(
                    "{kind},{key:x},{plan},{number:x},{units:.1},{extra:.1},{weight:.1},{most:.0}{whole};"
                )
            }
            Item::Tell { plan, units, place } => {
                let place = place.map_or(String::new(), |k| format!("{k:x}"));
                format!("t,{key:x},{plan},{place},{units:.1};")
            }
            Item::Answer { number, word, units, demand, granted, level } => {
                let code = word as u8;
                format!("g,{key:x},{code},{number:x},{units:.1},{demand:.1},{granted:.1},{level:.1};")
            }
        }
    }

    /// The item that a text holds, if it is one.
    pub(crate) fn read(text: &str, from: u32, now: f64) -> Option<(u64, Item)> {
        let parts: Vec<&str> = text.split(',').collect();
        let hex = |k: usize| parts.get(k).and_then(|x| u64::from_str_radix(x, 16).ok());
        let number = |k: usize| parts.get(k)?.parse::<f64>().ok().filter(|x| x.abs() < 1e9);
        let least = |k: usize| number(k).filter(|x| *x >= 0.0);
        let (key, code) = (hex(1)?, parts.get(2)?.parse::<usize>().ok()?);
        let item = match parts[0] {
            kind @ ("a" | "p") => {
                let (units, extra, until) = (least(4)?, least(5)?, now + least(7)?);
                let (shared, whole) = (kind == "p", parts.get(8) == Some(&"w"));
                let ask = Ask { from, number: hex(3)?, units, extra, shared, whole, until };
                Item::Ask { plan: code, ask, weight: least(6)? }
            }
            "t" => Item::Tell { plan: code, units: number(4)?, place: hex(3) },
            "g" => Item::Answer {
                number: hex(3)?,
                word: [Word::Deny, Word::Grant, Word::Wait].get(code).copied()?,
                units: least(4)?,
                demand: least(5)?,
                granted: least(6)?,
                level: number(7)?,
            },
            _ => return None,
        };
        Some((key, item))
    }
}
