//! What an instance acts on, as it told.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Kinds that one instance tells of.
pub const MAX_KINDS: usize = 64;
/// Bytes of a name.
const NAME_MOST: usize = 64;
/// Gatekeepers of a tier.
const TIER_MOST: u32 = 100_000;
/// A digest in hex digits; an empty one says that there is nothing to digest.
const DIGEST: usize = 64;

/// The program that runs.
pub const KIND_BUILD: &str = "build";
/// The platform's configuration.
pub const KIND_PLATFORM: &str = "platform";
/// The gatekeeper's own file.
pub const KIND_LOCAL_SETTINGS: &str = "own";
/// The plans' figures.
pub const KIND_PLANS: &str = "plans";
/// The decision on zones; revision 0 is none, or one that has faded.
pub const KIND_ZONES: &str = "zones";
/// The highest epoch known of a duty: this, and the duty's name.
pub const KIND_EPOCH_PREFIX: &str = "epoch.";

/// A revision, and the digest of what is in effect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// 0 where there are no revisions.
    pub revision: u64,
    /// 64 hex digits, or none.
    pub digest: String,
}

impl Version {
    /// In short, for people.
    #[must_use]
    pub fn short(&self) -> String {
        match (self.revision, self.digest.get(..8)) {
            (0, Some(digest)) => digest.to_string(),
            (revision, Some(digest)) => format!("{revision}:{digest}"),
            (revision, None) => revision.to_string(),
        }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.revision, self.digest)
    }
}

/// What one life of an instance acts on. Numbers go up with each change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppliedVersions {
    /// Its name.
    pub instance: String,
    /// When this life began, Unix time in ms by its own clock: tells lives apart.
    pub life: u64,
    /// Which word of this life it is, from 1.
    pub number: u64,
    /// Its number in the tier, and how many there are.
    pub me: u32,
    /// See `me`.
    pub gateways: u32,
    /// Where it stands.
    pub zone: String,
    /// When it told, Unix time in ms by its own clock, for people.
    pub at_ms: u64,
    /// By kind.
    pub versions: BTreeMap<String, Version>,
}

/// Why something was not taken: the field, and what it may be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedReport(pub String);

impl fmt::Display for RejectedReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for RejectedReport {}

/// Whether a text can be a name.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.#".contains(c);
    (1..=NAME_MOST).contains(&text.len()) && text.chars().all(fits)
}

impl AppliedVersions {
    /// Whether it can be.
    ///
    /// # Errors
    /// With the field and its range.
    pub fn check(&self) -> Result<(), RejectedReport> {
        let bad = |text: String| Err(RejectedReport(text));
        if !is_name(&self.instance) {
            return bad(format!("instance: 1 to {NAME_MOST} letters, digits, dots, dashes or underscores"));
        }
        if !self.zone.is_empty() && !is_name(&self.zone) {
            return bad("zone: a name, or nothing".into());
        }
        if self.life == 0 || self.number == 0 {
            return bad("life, number: from 1".into());
        }
        if !(1..=TIER_MOST).contains(&self.gateways) || self.me >= self.gateways {
            return bad(format!(
                "me: {} of {}; below gateways, which is 1 to {TIER_MOST}",
                self.me, self.gateways
            ));
        }
        if self.versions.len() > MAX_KINDS {
            return bad(format!("versions: {}; {MAX_KINDS} at the most", self.versions.len()));
        }
        for (kind, version) in &self.versions {
            if !is_name(kind) {
                return bad("versions: a kind is no name".into());
            }
            let hex = version.digest.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
            if !(version.digest.is_empty() || version.digest.len() == DIGEST) || !hex {
                return bad(format!("versions.{kind}.digest: {DIGEST} hex digits, or none"));
            }
        }
        Ok(())
    }

    /// The version of a kind.
    #[must_use]
    pub fn version_of(&self, kind: &str) -> Version {
        self.versions.get(kind).cloned().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_cannot_be_is_refused_with_the_field() {
        let version = Version { revision: 3, digest: "ab".repeat(32) };
        let sound = AppliedVersions {
            instance: "n1".into(),
            life: 1,
            number: 1,
            me: 0,
            gateways: 2,
            zone: "z0".into(),
            at_ms: 0,
            versions: [(KIND_PLANS.to_string(), version)].into(),
        };
        assert_eq!(sound.check(), Ok(()));
        type Change = fn(&mut AppliedVersions);
        let bad: [(&str, Change); 7] = [
            ("instance:", |a| a.instance = "a b".into()),
            ("zone:", |a| a.zone = "\n".into()),
            ("life, number", |a| a.life = 0),
            ("me: 2 of 2", |a| a.me = 2),
            ("versions: a kind", |a| drop(a.versions.insert(String::new(), Version::default()))),
            ("versions.plans.digest", |a| a.versions.get_mut(KIND_PLANS).expect("there").digest.truncate(5)),
            ("versions: 65", |a| {
                a.versions = (0..65).map(|k| (format!("k{k}"), Version::default())).collect();
            }),
        ];
        for (what, change) in bad {
            let mut acts = sound.clone();
            change(&mut acts);
            assert!(acts.check().is_err_and(|e| e.0.starts_with(what)), "{what}");
        }
    }
}
