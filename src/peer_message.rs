//! Encoding of the messages between gatekeepers: a message is a sequence of text items, each ended by `;`,
//! with fields separated by commas. The format of the items is a wire format. The module holds no state.

use crate::state::{QuotaReply, QuotaRequest};

/// One item of a peer message. It concerns one customer, whose key is passed beside it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum PeerMessageItem {
    /// To a quota owner (`a`, or `p` where a shared permit is needed): asks whether a request may be sent on,
    /// and reports `weight`, the demand seen since the last report.
    Request { plan: usize, quota_request: QuotaRequest, weight: f64 },
    /// To a quota owner (`t`): units to charge, or to refund if negative, and the permit that is released.
    Usage { plan: usize, units: f64, permit: Option<u64> },
    /// From a quota owner (`g`): its reply to the request `number`, the units granted, the customer's demand
    /// and grants, and the tokens in its quota bucket.
    Reply { number: u64, reply: QuotaReply, units: f64, demand: f64, granted: f64, quota_tokens: f64 },
}

/// A customer's key in peer messages: the 64-bit FNV-1a hash of the name, folded to 40 bits.
pub(crate) fn customer_key(name: &str) -> u64 {
    let hash =
        name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    (hash ^ (hash >> 40)) & 0xff_ffff_ffff
}

/// Returns the index of the gatekeeper that owns a customer's quota: one of the set of `spread` gatekeepers
/// that starts at index `first` and wraps around at `gatekeepers`. A `spread` of 0 stands for all gatekeepers.
/// The result applies where the customer's plan has one owner; with few gatekeepers all of them own the quota.
/// Clients may use it as a hint, since any gatekeeper of the set answers them.
#[must_use]
pub fn quota_owner_of(customer: &str, first: u32, spread: u32, gatekeepers: u32) -> u32 {
    quota_owner_at(customer_key(customer), (first, spread), gatekeepers)
}

/// Same as [`quota_owner_of`], for a customer's key.
pub(crate) fn quota_owner_at(key: u64, (first, spread): (u32, u32), gatekeepers: u32) -> u32 {
    let spread = u64::from(if spread == 0 { gatekeepers } else { spread.min(gatekeepers) }.max(1));
    (first + (key % spread) as u32) % gatekeepers.max(1)
}

impl PeerMessageItem {
    /// Encodes the item as text. A request carries the remaining milliseconds until it expires in place of the
    /// time of its expiry.
    pub(crate) fn encode(&self, key: u64, now: f64) -> String {
        match *self {
            PeerMessageItem::Request {
                plan,
                quota_request:
                    QuotaRequest {
                        number, units, prefetch_units, uses_shared_permit, owner_holds_all, until, ..
                    },
                weight,
            } => {
                let kind = if uses_shared_permit { 'p' } else { 'a' };
                let (remaining_ms, owner_flag) = (until - now, if owner_holds_all { ",w" } else { "" });
                format!(
                    "{kind},{key:x},{plan},{number:x},{units:.1},{prefetch_units:.1},{weight:.1},{remaining_ms:.0}{owner_flag};"
                )
            }
            PeerMessageItem::Usage { plan, units, permit } => {
                let permit = permit.map_or(String::new(), |k| format!("{k:x}"));
                format!("t,{key:x},{plan},{permit},{units:.1};")
            }
            PeerMessageItem::Reply { number, reply, units, demand, granted, quota_tokens } => {
                let code = reply as u8;
                format!("g,{key:x},{code},{number:x},{units:.1},{demand:.1},{granted:.1},{quota_tokens:.1};")
            }
        }
    }

    /// Decodes an item, without its `;`, that gatekeeper `from` sent, into the customer's key and the item.
    /// Returns `None` if the text is malformed or a number is out of range.
    pub(crate) fn decode(text: &str, from: u32, now: f64) -> Option<(u64, PeerMessageItem)> {
        let fields: Vec<&str> = text.split(',').collect();
        let hex = |k: usize| fields.get(k).and_then(|x| u64::from_str_radix(x, 16).ok());
        let number = |k: usize| fields.get(k)?.parse::<f64>().ok().filter(|x| x.abs() < 1e9);
        let non_negative = |k: usize| number(k).filter(|x| *x >= 0.0);
        let (key, code) = (hex(1)?, fields.get(2)?.parse::<usize>().ok()?);
        let item = match fields[0] {
            kind @ ("a" | "p") => {
                let (units, prefetch_units, until) =
                    (non_negative(4)?, non_negative(5)?, now + non_negative(7)?);
                let (uses_shared_permit, owner_holds_all) = (kind == "p", fields.get(8) == Some(&"w"));
                let quota_request = QuotaRequest {
                    from,
                    number: hex(3)?,
                    units,
                    prefetch_units,
                    uses_shared_permit,
                    owner_holds_all,
                    until,
                };
                PeerMessageItem::Request { plan: code, quota_request, weight: non_negative(6)? }
            }
            "t" => PeerMessageItem::Usage { plan: code, units: number(4)?, permit: hex(3) },
            "g" => PeerMessageItem::Reply {
                number: hex(3)?,
                reply: [QuotaReply::Deny, QuotaReply::Grant, QuotaReply::Wait].get(code).copied()?,
                units: non_negative(4)?,
                demand: non_negative(5)?,
                granted: non_negative(6)?,
                quota_tokens: number(7)?,
            },
            _ => return None,
        };
        Some((key, item))
    }
}
