//! Applies zone decisions that arrive over the link, and builds the zone observations that are sent over it.
//! The link has zone names; the decision module has zone numbers.

use crate::gatekeeper::Gatekeeper;
use frostvale::{RoutingSnapshot, ZoneObservation, ZoneShare};
use frostvale_link::proto::{ZoneLine, ZonePlace, ZoneRow, ZonesGuide, ZonesSeen};
use std::time::{Duration, Instant};

/// The duty whose decisions are zone decisions.
pub const ZONES_DUTY: &str = "zones";
/// Zones that a decision may have.
const MAX_ZONES: usize = 64;

/// The zone decision in effect.
#[derive(Default)]
pub struct ZoneDecisions {
    version: u64,
    epoch: u64,
    /// When the decision expires; from then on this gatekeeper chooses zones by itself.
    expires_at: Option<Instant>,
    /// Why the last decision was not applied; empty where it was.
    problem: String,
    /// The digest of the decision's rows.
    digest: String,
}

/// The name of a zone, or its number where it has none.
fn zone_name(areas: &[String], zone: u32) -> String {
    areas.get(zone as usize).cloned().unwrap_or_else(|| zone.to_string())
}

/// Converts the row of this gatekeeper's zone to the decision module's form.
fn routing_snapshot(areas: &[String], home: u32, decision: &ZonesGuide) -> Result<RoutingSnapshot, String> {
    let own = zone_name(areas, home);
    if decision.rows.len() > MAX_ZONES {
        return Err(format!("rows: {MAX_ZONES} at the most"));
    }
    let mut rows = decision.rows.iter().filter(|r| r.from == own);
    let Some(row) = rows.next() else { return Err(format!("rows: none is of zone {own}")) };
    if rows.next().is_some() {
        return Err(format!("rows: zone {own} is there twice"));
    }
    let part =
        |start: u32, end: u32| ZoneShare { start: f64::from(start) / 1000.0, end: f64::from(end) / 1000.0 };
    let ZoneRow { near_start_milli, near_end_milli, spill, .. } = row;
    let mut far = Vec::new();
    for s in spill {
        let at = (0..MAX_ZONES as u32).find(|k| zone_name(areas, *k) == s.to && *k != home);
        let Some(at) = at else {
            return Err(format!("rows.spill: zone {:?} is not known here", printable(&s.to)));
        };
        far.push((at, part(s.start_milli, s.end_milli)));
    }
    let ms = |ms: u64| ms.min(3_600_000) as f64;
    let guide = RoutingSnapshot {
        local: part(*near_start_milli, *near_end_milli),
        spill: far,
        ramp_ms: ms(decision.ramp_ms),
        age_ms: ms(decision.age_ms),
        hold_ms: ms(decision.hold_ms),
        fade_ms: ms(decision.fade_ms),
    };
    guide.check().map_err(|e| e.to_string())?;
    Ok(guide)
}

/// The first 40 characters of a text, without control characters.
fn printable(text: &str) -> String {
    text.chars().filter(|c| !c.is_control()).take(40).collect()
}

impl ZoneDecisions {
    /// Applies an admitted decision. On an error nothing has changed but the reported problem.
    pub fn apply_decision(
        &mut self,
        gatekeeper: &mut Gatekeeper,
        decision: &ZonesGuide,
    ) -> Result<(), String> {
        let epoch = decision.fence.as_ref().map_or(0, |f| f.epoch);
        if decision.version < self.version {
            self.problem = format!("version {} came after {}", decision.version, self.version);
            return Err(self.problem.clone());
        }
        let guide = routing_snapshot(&gatekeeper.conf.areas, gatekeeper.settings.zone, decision);
        let guide = match guide {
            Ok(guide) => guide,
            Err(why) => {
                self.problem = why.clone();
                return Err(why);
            }
        };
        let is_new = decision.version != self.version;
        if is_new {
            let rows = ZonesGuide { rows: decision.rows.clone(), ..ZonesGuide::default() };
            self.digest = crate::applied_versions::digest(&frostvale_link::encode(&rows));
        }
        (self.version, self.epoch) = (decision.version, epoch);
        self.expires_at = Some(
            Instant::now()
                + Duration::from_millis(decision.hold_ms.saturating_add(decision.fade_ms).min(7_200_000)),
        );
        self.problem.clear();
        if is_new {
            tracing::info!(
                version = decision.version,
                epoch,
                "the decision on zones of version {} is in effect",
                decision.version
            );
        }
        gatekeeper.guide(guide);
        Ok(())
    }

    /// The version in effect and its digest; 0 and empty where there is none, or it has expired.
    pub fn in_effect(&self) -> (u64, &str) {
        let is_in_effect = self.expires_at.is_some_and(|expires_at| Instant::now() < expires_at);
        if is_in_effect { (self.version, &self.digest) } else { (0, "") }
    }

    /// The message with an observation and the decision in effect.
    pub fn observation(&self, gatekeeper: &Gatekeeper, observed: ZoneObservation) -> ZonesSeen {
        let areas = &gatekeeper.conf.areas;
        let milli = |x: f64| (x.max(0.0) * 1000.0).round().min(1e12) as u64;
        let line = |(zone, class, [attempts, bad, late]): (u32, usize, [u32; 3])| ZoneLine {
            to: zone_name(areas, zone),
            class: u32::try_from(class).unwrap_or(u32::MAX),
            attempts,
            bad,
            late,
        };
        let place = |(zone, servers, size, warm): (u32, u32, f64, f64)| ZonePlace {
            zone: zone_name(areas, zone),
            servers,
            size_milli: milli(size),
            warm_milli: milli(warm.min(size)),
        };
        let is_in_effect = self.expires_at.is_some_and(|expires_at| Instant::now() < expires_at);
        ZonesSeen {
            zone: zone_name(areas, gatekeeper.settings.zone),
            need_milli: milli(observed.required_concurrency),
            lines: observed.attempt_counts.into_iter().map(line).collect(),
            places: observed.capacity.into_iter().map(place).collect(),
            version: if is_in_effect { self.version } else { 0 },
            epoch: if is_in_effect { self.epoch } else { 0 },
            problem: self.problem.clone(),
        }
    }
}

#[cfg(test)]
mod tests;
