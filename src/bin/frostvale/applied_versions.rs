//! What this gatekeeper acts on, worked out from what is in effect and not from what it was told; and whether it is shut out.

use crate::gatekeeper::Gatekeeper;
use frostvale_audit::applied_versions::{
    KIND_BUILD, KIND_EPOCH_PREFIX, KIND_LOCAL_SETTINGS, KIND_PLANS, KIND_PLATFORM, KIND_ZONES, Version,
};
use frostvale_audit::hash_chain::hex;
use frostvale_link::proto::{Acting, Acts, Plan, Shut};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The duty whose decisions say who is shut out.
pub const AUDIT_DUTY: &str = "audit";
/// Duties whose epochs are told.
const EPOCHS_MOST: usize = 32;
/// How long a decision may hold unheard.
const HOLD_MOST_MS: u64 = 3_600_000;

/// The digest of some bytes, as hex digits.
pub fn digest(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}

/// The digest of the program that runs; of its version where its file can't be read any more.
fn build() -> String {
    let file = std::env::current_exe().and_then(std::fs::read);
    file.map_or_else(|_| digest(env!("CARGO_PKG_VERSION").as_bytes()), |bytes| digest(&bytes))
}

/// What does not change by what agents say.
pub struct ConfigDigests {
    /// The digests of the platform's settings and of the own file, as they are in effect.
    pub platform: String,
    /// See `platform`.
    pub own: String,
}

/// What was told last, and what stands.
pub struct AppliedVersions {
    build: String,
    fixed: ConfigDigests,
    number: u64,
    last: BTreeMap<String, Version>,
    /// The version of the decision on who is shut out, until when, and whether this gatekeeper is.
    version: u64,
    until: Option<Instant>,
    shut: bool,
}

impl AppliedVersions {
    pub fn new(fixed: ConfigDigests) -> AppliedVersions {
        let none = BTreeMap::new();
        AppliedVersions { build: build(), fixed, number: 0, last: none, version: 0, until: None, shut: false }
    }

    /// The configuration was read again: what is in effect now.
    pub fn set_config_digests(&mut self, fixed: ConfigDigests) {
        self.fixed = fixed;
    }

    /// What is in effect.
    fn versions<'a>(
        &self,
        (revision, plans): (u64, &[Plan]),
        (zones, rows): (u64, &str),
        epochs: impl Iterator<Item = (&'a str, u64)>,
    ) -> BTreeMap<String, Version> {
        let fixed = |digest: &String| Version { revision: 0, digest: digest.clone() };
        let told = frostvale_link::proto::Plans { plans: plans.to_vec(), ..Default::default() };
        let mut all = BTreeMap::from([
            (KIND_BUILD.to_string(), fixed(&self.build)),
            (KIND_PLATFORM.to_string(), fixed(&self.fixed.platform)),
            (KIND_LOCAL_SETTINGS.to_string(), fixed(&self.fixed.own)),
            (KIND_PLANS.to_string(), Version { revision, digest: digest(&frostvale_link::encode(&told)) }),
            (KIND_ZONES.to_string(), Version { revision: zones, digest: rows.to_string() }),
        ]);
        for (duty, epoch) in epochs.take(EPOCHS_MOST) {
            all.insert(
                format!("{KIND_EPOCH_PREFIX}{duty}"),
                Version { revision: epoch, digest: String::new() },
            );
        }
        all
    }

    /// What is told now.
    pub fn report<'a>(
        &mut self,
        now_ms: u64,
        gatekeeper: &Gatekeeper,
        plans: (u64, &[Plan]),
        zones: (u64, &str),
        epochs: impl Iterator<Item = (&'a str, u64)>,
    ) -> Acts {
        let versions = self.versions(plans, zones, epochs);
        if versions != self.last || self.number == 0 {
            self.number += 1;
            self.last = versions;
        }
        let word = |(kind, v): (&String, &Version)| Acting {
            kind: kind.clone(),
            revision: v.revision,
            digest: v.digest.clone(),
        };
        let zone = gatekeeper.settings.zone;
        Acts {
            number: self.number,
            at_ms: now_ms,
            zone: gatekeeper.conf.areas.get(zone as usize).cloned().unwrap_or_else(|| zone.to_string()),
            versions: self.last.iter().map(word).collect(),
            shut: self.shut && self.until.is_some_and(|until| Instant::now() < until),
            shut_version: self.version,
        }
    }

    /// Who is shut out, as its fence let it through. Gives what the module is told.
    ///
    /// # Errors
    /// When a later version was here: nothing has changed then.
    pub fn apply_fenced_off(
        &mut self,
        name: &str,
        me: u32,
        word: &Shut,
    ) -> Result<frostvale::FenceOffDecision, String> {
        if word.version < self.version {
            return Err(format!("version {} came after {}", word.version, self.version));
        }
        let hold_ms = word.hold_ms.min(HOLD_MOST_MS);
        let includes_self = word.out.iter().any(|o| o.instance == name);
        let held = self.until.is_some_and(|until| Instant::now() < until);
        if word.version != self.version || includes_self != (self.shut && held) {
            let (version, many) = (word.version, word.out.len());
            match includes_self {
                true => tracing::warn!(
                    version,
                    "this gatekeeper is shut out by version {version}: all requests are turned away until it has caught up"
                ),
                false if self.shut => {
                    tracing::info!(version, "this gatekeeper is let in again by version {version}")
                }
                false => tracing::info!(version, "{many} gatekeepers are shut out by version {version}"),
            }
        }
        (self.version, self.shut) = (word.version, includes_self);
        self.until = Some(Instant::now() + Duration::from_millis(hold_ms));
        let others = word.out.iter().filter(|o| o.me != me).map(|o| o.me).collect();
        Ok(frostvale::FenceOffDecision {
            includes_self,
            others,
            retry_after_ms: word.retry_ms as f64,
            hold_ms: hold_ms as f64,
        })
    }
}

#[cfg(test)]
mod tests;
