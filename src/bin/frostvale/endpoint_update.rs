//! Endpoint updates in discovery's format: a full list of the servers, or the changes to it.
//!
//! An update is read in two stages, so that a long one does not block the event loop: [`Outline::read`] finds
//! the lines in one pass over the text, and [`EndpointLine::read`] decodes one line at a time. Both are
//! linear in the length of their text. A line that cannot be decoded is skipped and does not affect the
//! others.

use frostvale::{Health, RawSettings};
use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;

/// Why a whole update is rejected; the list in effect stays.
#[derive(Debug)]
pub enum UpdateError {
    /// It is not JSON, or has no version or no list of lines.
    Malformed(serde_json::Error),
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UpdateError::Malformed(error) => write!(f, "cannot parse endpoint list: {error}"),
        }
    }
}

impl std::error::Error for UpdateError {}

/// An update whose lines have been found but not decoded.
#[derive(serde::Deserialize)]
pub struct Outline<'a> {
    /// The version of the list that results from applying it.
    #[serde(rename = "rev")]
    pub version: u64,
    #[serde(default)]
    all: Option<bool>,
    /// Its lines, as JSON text.
    #[serde(borrow, rename = "targets")]
    pub lines: Vec<&'a RawValue>,
}

impl Outline<'_> {
    /// Finds the lines of an update.
    ///
    /// # Errors
    /// When the text is not a valid update.
    pub fn read(text: &[u8]) -> Result<Outline<'_>, UpdateError> {
        serde_json::from_slice(text).map_err(UpdateError::Malformed)
    }

    /// Whether it lists all servers, so that a server it does not name is gone.
    pub fn is_full(&self) -> bool {
        self.all.unwrap_or(false)
    }
}

/// State of one server according to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointState {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Index of its zone in the settings' `Areas`, or their number if the zone is not listed there.
    pub zone: u32,
    /// Index of its machine type in the settings' `Kinds`, or their number if it is not listed there.
    pub kind: u32,
    /// Number of its cell (`pod_group`).
    pub cell: u32,
    /// Whether it accepts requests.
    pub health: Health,
    /// Its registered size (`capacity_hint`); 1 if that is missing.
    pub size: f64,
    /// When it last started, in ms of Unix time; 0 if unknown, which counts as long ago.
    pub boot_ms: f64,
}

/// One decoded line of an update.
#[derive(Debug)]
pub struct EndpointLine<'a> {
    /// The server's name.
    pub uid: Cow<'a, str>,
    /// The state that the line gives it.
    pub state: EndpointState,
}

impl<'a> EndpointLine<'a> {
    /// Decodes a line; returns `None` if a required field is missing or invalid.
    pub fn read(line: &'a RawValue, conf: &RawSettings) -> Option<EndpointLine<'a>> {
        let fields: Fields = serde_json::from_str(line.get()).ok()?;
        let index_of = |names: &[String], name: Option<Cow<str>>| {
            let name = name.unwrap_or_default();
            names.iter().position(|n| *n == name).unwrap_or(names.len()).try_into().unwrap_or(u32::MAX)
        };
        let health = match fields.state.into_text()?.as_ref() {
            "ready" => Health::Up,
            "draining" => Health::Draining,
            "gone" => Health::Gone,
            _ => return None,
        };
        let state = EndpointState {
            address: fields.endpoint.into_text()?.parse().ok()?,
            zone: index_of(&conf.areas, fields.zone.into_text()),
            kind: index_of(&conf.kinds, fields.model.into_text()),
            cell: fields.cell.as_u64().and_then(|n| u32::try_from(n).ok())?,
            health,
            size: fields.size.non_negative().unwrap_or(1.0),
            boot_ms: fields.boot_ms.non_negative().unwrap_or(0.0),
        };
        let uid = fields.uid.into_text().filter(|uid| !uid.is_empty())?;
        Some(EndpointLine { uid, state })
    }
}

/// The fields of a line, with values of any type.
#[derive(Default)]
struct Fields<'a> {
    uid: Scalar<'a>,
    endpoint: Scalar<'a>,
    zone: Scalar<'a>,
    model: Scalar<'a>,
    cell: Scalar<'a>,
    state: Scalar<'a>,
    size: Scalar<'a>,
    boot_ms: Scalar<'a>,
}

impl<'de> Deserialize<'de> for Fields<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields<'de>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an endpoint")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields<'de>, A::Error> {
        let mut fields = Fields::default();
        while let Some(Scalar::Text(key)) = map.next_key()? {
            let value = map.next_value()?;
            match key.as_ref() {
                "uid" => fields.uid = value,
                "endpoint" => fields.endpoint = value,
                "az" => fields.zone = value,
                "model" => fields.model = value,
                "pod_group" => fields.cell = value,
                "state" => fields.state = value,
                "capacity_hint" => fields.size = value,
                "boot_ms" => fields.boot_ms = value,
                _ => {}
            }
        }
        Ok(fields)
    }
}

/// Value of a field. Values that are neither text nor number count as missing.
#[derive(Default)]
enum Scalar<'a> {
    Text(Cow<'a, str>),
    Unsigned(u64),
    Float(f64),
    #[default]
    None,
}

impl<'a> Scalar<'a> {
    fn into_text(self) -> Option<Cow<'a, str>> {
        if let Scalar::Text(text) = self { Some(text) } else { None }
    }

    fn as_u64(&self) -> Option<u64> {
        if let Scalar::Unsigned(number) = self { Some(*number) } else { None }
    }

    /// The value, if it is a finite number that is not negative.
    fn non_negative(&self) -> Option<f64> {
        let number = match self {
            Scalar::Unsigned(number) => *number as f64,
            Scalar::Float(number) => *number,
            _ => return None,
        };
        (number.is_finite() && number >= 0.0).then_some(number)
    }
}

impl<'de> Deserialize<'de> for Scalar<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ScalarVisitor)
    }
}

struct ScalarVisitor;

impl<'de> Visitor<'de> for ScalarVisitor {
    type Value = Scalar<'de>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Text(Cow::Borrowed(text)))
    }

    fn visit_str<E>(self, text: &str) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Text(Cow::Owned(text.to_string())))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Unsigned(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Float(number as f64))
    }

    fn visit_f64<E>(self, number: f64) -> Result<Scalar<'de>, E> {
        Ok(Scalar::Float(number))
    }

    fn visit_bool<E>(self, _: bool) -> Result<Scalar<'de>, E> {
        Ok(Scalar::None)
    }

    fn visit_unit<E>(self) -> Result<Scalar<'de>, E> {
        Ok(Scalar::None)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Scalar<'de>, A::Error> {
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Scalar::None)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Scalar<'de>, A::Error> {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(Scalar::None)
    }
}

#[cfg(test)]
mod tests;
