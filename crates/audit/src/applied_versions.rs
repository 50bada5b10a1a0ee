//! The versions of plans, configuration and decisions that an instance acts on, as it reports them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Limit of kinds in one report.
pub const MAX_KINDS: usize = 64;
/// Limit of a name's length.
const MAX_NAME_BYTES: usize = 64;
/// Limit of gatekeepers in a tier.
const MAX_GATEKEEPERS: u32 = 100_000;
/// Length of a digest in hex digits. An empty digest means that the kind has no content to digest.
const DIGEST_HEX_DIGITS: usize = 64;

/// The running program.
pub const KIND_BUILD: &str = "build";
/// The platform's configuration.
pub const KIND_PLATFORM: &str = "platform";
/// The gatekeeper's local settings file.
pub const KIND_LOCAL_SETTINGS: &str = "own";
/// The plans.
pub const KIND_PLANS: &str = "plans";
/// The decision on zones; revision 0 means that there is none or that it has expired.
pub const KIND_ZONES: &str = "zones";
/// Prefix of the kinds for the highest known epoch of a duty; followed by the duty's name.
pub const KIND_EPOCH_PREFIX: &str = "epoch.";

/// The revision and digest of the content in effect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// 0 for kinds without revisions.
    pub revision: u64,
    /// SHA-256 as 64 lowercase hex digits, or empty.
    pub digest: String,
}

impl Version {
    /// A short form for operators: the revision if it is not 0, and the first 8 digits of the digest.
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

/// A report of the versions that one incarnation of an instance acts on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppliedVersions {
    /// Name of the instance.
    pub instance: String,
    /// The incarnation: when the instance started, Unix time in ms by its own clock.
    pub life: u64,
    /// Number of the report within the incarnation, from 1; it increases with each change.
    pub number: u64,
    /// Its gatekeeper number in the tier, from 0.
    pub me: u32,
    /// The number of gatekeepers of the tier.
    pub gateways: u32,
    /// Its zone; empty if it has none.
    pub zone: String,
    /// When the report was made, Unix time in ms by the instance's clock; shown to operators only.
    pub at_ms: u64,
    /// The versions, by kind (`KIND_*`).
    pub versions: BTreeMap<String, Version>,
}

/// Why a report was rejected: the field and the values allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedReport(pub String);

impl fmt::Display for RejectedReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for RejectedReport {}

/// Whether a text is a valid name: 1 to 64 ASCII letters, digits, or any of `-_.#`.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.#".contains(c);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(is_allowed)
}

impl AppliedVersions {
    /// Checks each field.
    ///
    /// # Errors
    /// With the first invalid field and the values allowed.
    pub fn check(&self) -> Result<(), RejectedReport> {
        let reject = |text: String| Err(RejectedReport(text));
        if !is_name(&self.instance) {
            return reject(format!(
                "instance: 1 to {MAX_NAME_BYTES} letters, digits, dots, dashes or underscores"
            ));
        }
        if !self.zone.is_empty() && !is_name(&self.zone) {
            return reject("zone: a name, or nothing".into());
        }
        if self.life == 0 || self.number == 0 {
            return reject("life, number: from 1".into());
        }
        if !(1..=MAX_GATEKEEPERS).contains(&self.gateways) || self.me >= self.gateways {
            return reject(format!(
                "me: {} of {}; below gateways, which is 1 to {MAX_GATEKEEPERS}",
                self.me, self.gateways
            ));
        }
        if self.versions.len() > MAX_KINDS {
            return reject(format!("versions: {}; {MAX_KINDS} at the most", self.versions.len()));
        }
        for (kind, version) in &self.versions {
            if !is_name(kind) {
                return reject("versions: a kind is no name".into());
            }
            let is_hex = version.digest.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
            if !(version.digest.is_empty() || version.digest.len() == DIGEST_HEX_DIGITS) || !is_hex {
                return reject(format!("versions.{kind}.digest: {DIGEST_HEX_DIGITS} hex digits, or none"));
            }
        }
        Ok(())
    }

    /// The version of a kind, or the default (revision 0, no digest) if none is reported.
    #[must_use]
    pub fn version_of(&self, kind: &str) -> Version {
        self.versions.get(kind).cloned().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn check_rejects_invalid_reports_naming_the_field() {
        let version = Version { revision: 3, digest: "ab".repeat(32) };
        let valid = AppliedVersions {
            instance: "n1".into(),
            life: 1,
            number: 1,
            me: 0,
            gateways: 2,
            zone: "z0".into(),
            at_ms: 0,
            versions: [(KIND_PLANS.to_string(), version)].into(),
        };
        assert_eq!(valid.check(), Ok(()));
        type Change = fn(&mut AppliedVersions);
        let invalid: [(&str, Change); 7] = [
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
        for (expected, change) in invalid {
            let mut report = valid.clone();
            change(&mut report);
            assert!(report.check().is_err_and(|e| e.0.starts_with(expected)), "{expected}");
        }
    }
}
