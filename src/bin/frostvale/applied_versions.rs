//! The versions of the build, settings and decisions that this gatekeeper applies, computed from what is in
//! effect and not from what it was sent; and whether this gatekeeper is fenced off.

use crate::gatekeeper::Gatekeeper;
use frostvale_audit::applied_versions::{
    KIND_BUILD, KIND_EPOCH_PREFIX, KIND_LOCAL_SETTINGS, KIND_PLANS, KIND_PLATFORM, KIND_ZONES, Version,
};
use frostvale_audit::hash_chain::hex;
use frostvale_link::proto::{Acting, Acts, Plan, Shut};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The duty whose decisions say which gatekeepers are fenced off.
pub const AUDIT_DUTY: &str = "audit";
/// Duties whose epochs are reported.
const MAX_REPORTED_EPOCHS: usize = 32;
/// The longest time, in ms, for which a decision holds without being renewed.
const MAX_HOLD_MS: u64 = 3_600_000;

/// The SHA-256 digest of bytes, as hex digits.
pub fn digest(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}

/// The digest of the running executable, or of its version if the file can no longer be read.
fn build_digest() -> String {
    let file = std::env::current_exe().and_then(std::fs::read);
    file.map_or_else(|_| digest(env!("CARGO_PKG_VERSION").as_bytes()), |bytes| digest(&bytes))
}

/// Digests of the configuration, which agents do not change.
pub struct ConfigDigests {
    /// The digest of the platform's settings, as they are in effect.
    pub platform: String,
    /// The digest of the local settings file, as it is in effect.
    pub own: String,
}

/// The versions last reported, and the decision on fenced-off gatekeepers.
pub struct AppliedVersions {
    build: String,
    config: ConfigDigests,
    /// Incremented whenever the reported versions change.
    number: u64,
    /// The versions last reported, by kind.
    last: BTreeMap<String, Version>,
    /// The version of the decision on fenced-off gatekeepers, when it expires, and whether it includes this
    /// gatekeeper.
    version: u64,
    expires_at: Option<Instant>,
    is_fenced_off: bool,
}

impl AppliedVersions {
    /// Starts with no decision and nothing reported.
    pub fn new(config: ConfigDigests) -> AppliedVersions {
        let none = BTreeMap::new();
        AppliedVersions {
            build: build_digest(),
            config,
            number: 0,
            last: none,
            version: 0,
            expires_at: None,
            is_fenced_off: false,
        }
    }

    /// Replaces the digests after the configuration was read again.
    pub fn set_config_digests(&mut self, config: ConfigDigests) {
        self.config = config;
    }

    /// The versions in effect, by kind.
    fn versions<'a>(
        &self,
        (revision, plans): (u64, &[Plan]),
        (zones, rows): (u64, &str),
        epochs: impl Iterator<Item = (&'a str, u64)>,
    ) -> BTreeMap<String, Version> {
        let unnumbered = |digest: &String| Version { revision: 0, digest: digest.clone() };
        let message = frostvale_link::proto::Plans { plans: plans.to_vec(), ..Default::default() };
        let mut all = BTreeMap::from([
            (KIND_BUILD.to_string(), unnumbered(&self.build)),
            (KIND_PLATFORM.to_string(), unnumbered(&self.config.platform)),
            (KIND_LOCAL_SETTINGS.to_string(), unnumbered(&self.config.own)),
            (KIND_PLANS.to_string(), Version { revision, digest: digest(&frostvale_link::encode(&message)) }),
            (KIND_ZONES.to_string(), Version { revision: zones, digest: rows.to_string() }),
        ]);
        for (duty, epoch) in epochs.take(MAX_REPORTED_EPOCHS) {
            all.insert(
                format!("{KIND_EPOCH_PREFIX}{duty}"),
                Version { revision: epoch, digest: String::new() },
            );
        }
        all
    }

    /// The message with the versions in effect. Its number increases when they differ from the last report.
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
        let acting = |(kind, v): (&String, &Version)| Acting {
            kind: kind.clone(),
            revision: v.revision,
            digest: v.digest.clone(),
        };
        let zone = gatekeeper.settings.zone;
        Acts {
            number: self.number,
            at_ms: now_ms,
            zone: gatekeeper.conf.areas.get(zone as usize).cloned().unwrap_or_else(|| zone.to_string()),
            versions: self.last.iter().map(acting).collect(),
            shut: self.is_fenced_off && self.expires_at.is_some_and(|expires_at| Instant::now() < expires_at),
            shut_version: self.version,
        }
    }

    /// Applies an admitted decision on fenced-off gatekeepers. Returns it in the decision module's form.
    ///
    /// # Errors
    /// If a later version is in effect: nothing has changed then.
    pub fn apply_fenced_off(
        &mut self,
        name: &str,
        own_index: u32,
        decision: &Shut,
    ) -> Result<frostvale::FenceOffDecision, String> {
        if decision.version < self.version {
            return Err(format!(
                "version {} is older than version {} in effect",
                decision.version, self.version
            ));
        }
        let hold_ms = decision.hold_ms.min(MAX_HOLD_MS);
        let includes_self = decision.out.iter().any(|o| o.instance == name);
        let held = self.expires_at.is_some_and(|expires_at| Instant::now() < expires_at);
        if decision.version != self.version || includes_self != (self.is_fenced_off && held) {
            let (version, count) = (decision.version, decision.out.len());
            match includes_self {
                true => tracing::warn!(
                    version,
                    "this gatekeeper is shut out by version {version}: all requests are refused until it is up to date"
                ),
                false if self.is_fenced_off => {
                    tracing::info!(version, "this gatekeeper is readmitted by version {version}")
                }
                false => tracing::info!(version, "{count} gatekeepers are shut out by version {version}"),
            }
        }
        (self.version, self.is_fenced_off) = (decision.version, includes_self);
        self.expires_at = Some(Instant::now() + Duration::from_millis(hold_ms));
        let others = decision.out.iter().filter(|o| o.me != own_index).map(|o| o.me).collect();
        Ok(frostvale::FenceOffDecision {
            includes_self,
            others,
            retry_after_ms: decision.retry_ms as f64,
            hold_ms: hold_ms as f64,
        })
    }
}

#[cfg(test)]
mod tests;
